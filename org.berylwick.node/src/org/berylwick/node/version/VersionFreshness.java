package org.berylwick.node.version;

import org.berylwick.node.lib.Clock;
import org.berylwick.node.member.Member;
import org.berylwick.node.member.MemberTable;

/** Tracks the newest version that other nodes have in force. Confined to the event loop. */
public final class VersionFreshness {
    private final Clock clock;
    private final MemberTable table;
    private long newestNumber;
    private long newestHeardAt;

    /**
     * @param clock time source
     * @param table the other nodes
     */
    VersionFreshness(Clock clock, MemberTable table) {
        this.clock = clock;
        this.table = table;
    }

    /** Records the number of the version in force on another node. */
    void onMemberUpdated(Member member) {
        if (member.state().version() > newestNumber) {
            newestNumber = member.state().version();
            newestHeardAt = clock.now();
        }
    }

    /** Highest version number in force on another node, 0 if none is known. */
    public long newestNumber() {
        return newestNumber;
    }

    /** How long ago a version of at least the given number became known on another node, 0 if none did. */
    long knownForMillis(long number) {
        return newestNumber < number ? 0 : (clock.now() - newestHeardAt) / 1_000_000;
    }

    /** Number of nodes that have a version in force that is newer than the given one. */
    public int membersAhead(long number) {
        int count = 0;
        for (Member member : table.all()) {
            if (member.state().version() > number) {
                count++;
            }
        }
        return count;
    }
}

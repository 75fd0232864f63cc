package org.berylwick.node.version;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.member.Member;
import org.berylwick.node.member.MemberTable;
import org.berylwick.node.member.NodeState;

/**
 * Decides whether the version in force on this node is the newest accepted one, from what other nodes have in force and
 * what the store returned. Confined to the event loop.
 *
 * <p>A node that has not received a version yet cannot tell a path that does not exist from one that was added, so the
 * final response to a path without a route requires evidence. Mostly the gossip of other nodes is enough; only a node
 * that hears too few of them reads the store, and rarely, so that callers cannot cause reads by asking for paths that
 * do not exist.
 */
public final class VersionFreshness {
    /** Evidence older than this does not count; it is below the time in which a version must be in force everywhere. */
    private static final long MAX_EVIDENCE_AGE_NANOS = 1_000_000_000L;
    /** Time for which a caller is kept waiting for the decision. */
    private static final long MAX_WAIT_NANOS = 300_000_000L;
    /** Minimum time between two reads of the store, for each node of the fleet. */
    private static final long READ_INTERVAL_PER_NODE_NANOS = 50_000_000L;

    private static final long MIN_READ_INTERVAL_NANOS = 1_000_000_000L;
    /** Availability zones from which evidence must come, because the readers of one zone may have failed. */
    private static final int MIN_ZONES = 2;

    private static final int MAX_WAITING = 256;

    private final Clock clock;
    private final MemberTable table;
    private final LongSupplier currentNumber;
    private final Runnable startRead;
    private final List<Decision> waiting = new ArrayList<>();
    private long newestNumber;
    private long newestHeardAt;
    /** Version numbers up to this one that other nodes announced were not in the store. */
    private long refutedNumber;

    private long confirmedNumber;
    private long confirmedAt;
    private long nextReadAt;

    /** A caller that waits for the decision; compared by identity. */
    private static final class Decision {
        private final Consumer<Boolean> onDecided;

        Decision(Consumer<Boolean> onDecided) {
            this.onDecided = onDecided;
        }
    }

    /**
     * @param clock time source
     * @param table the other nodes
     * @param currentNumber supplies the number of the version in force, 0 for none
     * @param startRead starts a linearizable read of the store if none is in progress
     */
    VersionFreshness(Clock clock, MemberTable table, LongSupplier currentNumber, Runnable startRead) {
        this.clock = clock;
        this.table = table;
        this.currentNumber = currentNumber;
        this.startRead = startRead;
        this.nextReadAt = clock.now();
    }

    /** Records the number of the version in force on another node. */
    void onMemberUpdated(Member member) {
        if (member.state().version() > newestNumber) {
            newestNumber = member.state().version();
            newestHeardAt = clock.now();
        }
    }

    /**
     * Records the result of a linearizable read of the store.
     *
     * @param number number of the newest version in the store
     * @param startedAt when the read was started
     */
    void onStoreRead(long number, long startedAt) {
        confirmedNumber = number;
        confirmedAt = startedAt;
        if (newestNumber > number && newestHeardAt < startedAt) {
            refutedNumber = newestNumber;
        }
    }

    /**
     * Decides for the callers that wait, because a read of the store has ended. While a newer version is known, they go
     * on waiting for it: it comes from another node, and a read may fail meanwhile, or be older than the announcement.
     */
    void onStoreReadEnded() {
        if (!isOutdated()) {
            decideWaiting();
        }
    }

    /** Decides for all callers that wait, because a version was installed. */
    void decideWaiting() {
        List<Decision> decided = List.copyOf(waiting);
        waiting.clear();
        boolean newest = isNewest();
        decided.forEach(decision -> decision.onDecided.accept(newest));
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

    /** Whether a newer version than the one in force here is known to exist. */
    public boolean isOutdated() {
        return newestNumber > Math.max(currentNumber.getAsLong(), refutedNumber);
    }

    /** Whether there is recent evidence that the version in force here is the newest one. */
    private boolean isNewest() {
        if (isOutdated()) {
            return false;
        }
        long now = clock.now();
        if (confirmedNumber == currentNumber.getAsLong() && now - confirmedAt <= MAX_EVIDENCE_AGE_NANOS) {
            return true;
        }
        Set<String> zones = new HashSet<>();
        for (Member member : table.all()) {
            NodeState state = member.state();
            if (state.version() == currentNumber.getAsLong()
                    && state.storeReachable()
                    && now - member.lastDatagramAt() <= MAX_EVIDENCE_AGE_NANOS) {
                zones.add(state.zone());
            }
        }
        return zones.size() >= MIN_ZONES;
    }

    /**
     * Decides whether the version in force is the newest one. Waits at most {@link #MAX_WAIT_NANOS} for a newer version
     * to be installed, or for the store.
     *
     * @param onDecided receives true if the version in force is the newest one, false if that is unknown or another one
     *     is newer; called at once if possible
     */
    public void decide(Consumer<Boolean> onDecided) {
        boolean newest = isNewest();
        boolean decidedSoon = !newest && (readStoreIfDue() || isOutdated());
        if (!decidedSoon || waiting.size() >= MAX_WAITING) {
            onDecided.accept(newest);
            return;
        }
        Decision decision = new Decision(onDecided);
        waiting.add(decision);
        clock.schedule(clock.now() + MAX_WAIT_NANOS, () -> expire(decision));
    }

    private void expire(Decision decision) {
        if (waiting.remove(decision)) {
            decision.onDecided.accept(isNewest());
        }
    }

    /**
     * Starts a read of the store unless one was started recently, or a newer version has only just become known and is
     * being fetched from another node. Returns whether a read for a decision is in progress.
     */
    private boolean readStoreIfDue() {
        long now = clock.now();
        if (isOutdated() && now - newestHeardAt < MAX_EVIDENCE_AGE_NANOS) {
            return false;
        }
        if (now - nextReadAt < 0) {
            return !waiting.isEmpty();
        }
        nextReadAt = now
                + Math.max(
                        MIN_READ_INTERVAL_NANOS,
                        READ_INTERVAL_PER_NODE_NANOS * (table.all().size() + 1));
        startRead.run();
        return true;
    }
}

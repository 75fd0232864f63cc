package org.berylwick.internal.membership;

import java.util.HashMap;
import java.util.Map;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;

/**
 * The members known to this process, merged from announcements that may be late or crossed.
 *
 * <p>Of two records of one instance the higher incarnation wins, and at one incarnation the state further along. Any
 * thread may read the view; merges are serialised.
 */
public final class MembershipTable implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "membership";

    private final Map<String, Member> members = new HashMap<>();
    private volatile MembershipView view = MembershipView.EMPTY;

    /** What became of a merged record. */
    public enum Merge {
        /** The view changed. */
        CHANGED,
        /** The record was old news. */
        UNCHANGED
    }

    @Override
    public String name() {
        return NAME;
    }

    /** The members as of now. */
    public MembershipView view() {
        return view;
    }

    /** Takes in one record. */
    public synchronized Merge merge(Member record) {
        Member known = members.get(record.instance());
        if (known != null && !supersedes(record, known)) {
            return Merge.UNCHANGED;
        }
        members.put(record.instance(), record);
        view = new MembershipView(members.values());
        return Merge.CHANGED;
    }

    /** Drops an instance. */
    public synchronized void forget(String instance) {
        if (members.remove(instance) != null) {
            view = new MembershipView(members.values());
        }
    }

    private static boolean supersedes(Member record, Member known) {
        if (record.incarnation() != known.incarnation()) {
            return record.incarnation() > known.incarnation();
        }
        if (record.state() != known.state()) {
            return record.state().compareTo(known.state()) > 0;
        }
        return record.version() > known.version();
    }
}

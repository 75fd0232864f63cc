package org.berylwick.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;

/**
 * The members known to this process, merged from records that may arrive late or out of order.
 *
 * <p>Of two records of the same instance, the one with the higher incarnation wins. At equal incarnations, the state
 * that comes later in the order of {@link Member.State} wins, and the other components are taken from the record with
 * the higher version. Thread-safe: reading the view takes no lock, merges are serialized.
 */
public final class MembershipTable implements KernelService {
    /** The name under which the table is registered in the kernel. */
    public static final String NAME = "membership";

    private final Map<String, Member> members = new HashMap<>();
    private volatile MembershipView view = MembershipView.EMPTY;
    private long statesHash;
    private long versionsHash;

    /** Whether merging a record changed the view. */
    public enum MergeResult {
        /** The view changed. */
        CHANGED,
        /** The view did not change: the record was not newer than the known one. */
        UNCHANGED
    }

    /**
     * Hashes of all members that are not {@code GONE}, independent of their order; tables with equal members have equal
     * hashes.
     *
     * @param states hash of the members' instance names, incarnations and states
     * @param versions hash of the members' instance names, incarnations and versions in force
     */
    public record Hashes(long states, long versions) {}

    @Override
    public String name() {
        return NAME;
    }

    /** Returns an immutable snapshot of the members. */
    public MembershipView view() {
        return view;
    }

    /** Returns the hashes of the current members. */
    public synchronized Hashes hashes() {
        return new Hashes(statesHash, versionsHash);
    }

    /** Merges one record into the table. */
    public MergeResult merge(Member record) {
        return mergeAll(List.of(record)).isEmpty() ? MergeResult.UNCHANGED : MergeResult.CHANGED;
    }

    /**
     * Merges many records into the table, replacing the view at most once.
     *
     * @return the new records of the members that changed
     */
    public synchronized List<Member> mergeAll(Collection<Member> records) {
        List<Member> changed = new ArrayList<>();
        for (Member record : records) {
            Member existing = members.get(record.instance());
            // Daemons remove a tombstone at different times. If they accepted it again from one that still has it,
            // it would circulate forever.
            if (existing == null && record.state() == Member.State.GONE) {
                continue;
            }
            Member merged = existing == null ? record : MemberMerge.merge(existing, record);
            if (!merged.equals(existing)) {
                replace(existing, merged);
                changed.add(merged);
            }
        }
        if (!changed.isEmpty()) {
            view = new MembershipView(members.values());
        }
        return changed;
    }

    /** Removes the record of an instance. */
    public synchronized void remove(String instance) {
        Member existing = members.remove(instance);
        if (existing != null) {
            toggleInHashes(existing);
            view = new MembershipView(members.values());
        }
    }

    private void replace(Member existing, Member replacement) {
        if (existing != null) {
            toggleInHashes(existing);
        }
        toggleInHashes(replacement);
        members.put(replacement.instance(), replacement);
    }

    /**
     * Adds a record to the hashes, or removes it if they contain it: XOR is its own inverse. {@code GONE} records are
     * not hashed.
     */
    private void toggleInHashes(Member member) {
        if (member.state() == Member.State.GONE) {
            return;
        }
        statesHash ^= MemberHash.ofState(member);
        versionsHash ^= MemberHash.ofVersion(member);
    }
}

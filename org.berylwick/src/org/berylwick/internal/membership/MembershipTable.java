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
 * The members known to this process, merged from announcements that may be late or crossed.
 *
 * <p>Of two records of one instance the higher incarnation wins; at one incarnation the state further along wins, and
 * the content with the higher version. Any thread may read the view; merges are serialised.
 */
public final class MembershipTable implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "membership";

    private final Map<String, Member> members = new HashMap<>();
    private volatile MembershipView view = MembershipView.EMPTY;
    private long statesHash;
    private long versionsHash;

    /** What became of a merged record. */
    public enum MergeResult {
        /** The view changed. */
        CHANGED,
        /** The record was old news. */
        UNCHANGED
    }

    /**
     * Order-free hashes of all members but those gone; equal tables have equal hashes.
     *
     * @param states over instance, incarnation and state
     * @param versions over instance, incarnation and version in force
     */
    public record Hashes(long states, long versions) {}

    @Override
    public String name() {
        return NAME;
    }

    /** The members as of now. */
    public MembershipView view() {
        return view;
    }

    /** Hashes of the members as of now. */
    public synchronized Hashes hashes() {
        return new Hashes(statesHash, versionsHash);
    }

    /** Takes in one record. */
    public MergeResult merge(Member record) {
        return mergeAll(List.of(record)).isEmpty() ? MergeResult.UNCHANGED : MergeResult.CHANGED;
    }

    /**
     * Takes in many records with one new view.
     *
     * @return the members that changed, as they are now
     */
    public synchronized List<Member> mergeAll(Collection<Member> records) {
        List<Member> changed = new ArrayList<>();
        for (Member record : records) {
            Member existing = members.get(record.instance());
            // A tombstone that others have dropped already would otherwise travel round for good.
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

    /** Drops an instance. */
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

    /** Counts a record in, or, the second time, out: exclusive or is its own inverse. */
    private void toggleInHashes(Member member) {
        if (member.state() == Member.State.GONE) {
            return;
        }
        statesHash ^= MemberHash.ofState(member);
        versionsHash ^= MemberHash.ofVersion(member);
    }
}

package org.berylwick.internal.membership;

import java.util.Comparator;
import org.berylwick.lib.Member;

/**
 * Merges two records of the same instance, so that all daemons converge on the same record whatever the order in which
 * they receive records.
 *
 * <p>The record with the higher incarnation wins. At equal incarnations, the state that comes later in the order of
 * {@link Member.State} wins; independently of it, the other components are taken from the record with the higher
 * version. The two are decided separately because a suspicion raised by another daemon must not undo a version report,
 * and a version report must not clear a suspicion. The merge is commutative, associative and idempotent.
 */
final class MemberMerge {
    /**
     * Orders records by version. The other components only decide between records of the same version, so that all
     * daemons choose the same one.
     */
    private static final Comparator<Member> BY_CONTENT = Comparator.comparingLong(Member::version)
            .thenComparingLong(Member::installedAtEpochMillis)
            .thenComparingInt(Member::slots)
            .thenComparing(m -> m.address().toString())
            .thenComparing(Member::service)
            .thenComparing(m -> m.place().toString())
            .thenComparing(m -> m.labels().values().toString());

    private MemberMerge() {}

    /** Merges {@code a} and {@code b}, which must be records of the same instance. */
    static Member merge(Member a, Member b) {
        if (a.incarnation() != b.incarnation()) {
            return a.incarnation() > b.incarnation() ? a : b;
        }
        Member content = BY_CONTENT.compare(a, b) >= 0 ? a : b;
        return content.withState(a.state().compareTo(b.state()) >= 0 ? a.state() : b.state());
    }
}

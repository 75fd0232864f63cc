package org.berylwick.internal.membership;

import java.util.Comparator;
import org.berylwick.lib.Member;

/**
 * Joins two records of one instance, so that all daemons end with the same record whatever order they came in.
 *
 * <p>The higher incarnation wins outright. At one incarnation the state further along wins, and, apart from it, the
 * content with the higher version: a suspicion by somebody else must not take a version report back, nor a version
 * report lift a suspicion. Commutative, associative and idempotent.
 */
final class MemberMerge {
    private static final Comparator<Member> BY_CONTENT = Comparator.comparingLong(Member::version)
            .thenComparingLong(Member::installedAtEpochMillis)
            .thenComparingInt(Member::slots)
            .thenComparing(m -> m.address().toString())
            .thenComparing(Member::service)
            .thenComparing(m -> m.place().toString())
            .thenComparing(m -> m.labels().values().toString());

    private MemberMerge() {}

    /** The record that both {@code a} and {@code b} amount to. */
    static Member merge(Member a, Member b) {
        if (a.incarnation() != b.incarnation()) {
            return a.incarnation() > b.incarnation() ? a : b;
        }
        Member content = BY_CONTENT.compare(a, b) >= 0 ? a : b;
        return content.withState(a.state().compareTo(b.state()) >= 0 ? a.state() : b.state());
    }
}

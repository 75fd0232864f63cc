package org.berylwick.internal.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.berylwick.lib.Member;
import org.junit.jupiter.api.Test;

/** Tests that delayed, reordered and duplicated records lead to the same table on all daemons. */
class MembershipMergeTest {
    @Provide
    Arbitrary<Member> records() {
        return MemberRecords.anyRecord();
    }

    @Provide
    Arbitrary<List<Member>> lists() {
        return MemberRecords.recordLists();
    }

    private static Member withInstanceA(Member m) {
        return new Member(
                "a",
                m.service(),
                m.address(),
                m.place(),
                m.labels(),
                m.state(),
                m.incarnation(),
                m.slots(),
                m.version(),
                m.installedAtEpochMillis());
    }

    @Property(seed = "5")
    void mergeIsCommutativeAssociativeAndIdempotent(
            @ForAll("records") Member x, @ForAll("records") Member y, @ForAll("records") Member z) {
        Member a = withInstanceA(x);
        Member b = withInstanceA(y);
        Member c = withInstanceA(z);
        assertEquals(MemberMerge.merge(a, b), MemberMerge.merge(b, a));
        assertEquals(MemberMerge.merge(MemberMerge.merge(a, b), c), MemberMerge.merge(a, MemberMerge.merge(b, c)));
        assertEquals(a, MemberMerge.merge(a, a));
    }

    @Property(seed = "5")
    void tablesConvergeWhateverTheOrderOfRecords(@ForAll("lists") List<Member> records, @ForAll Random random) {
        List<Member> initial = List.of(
                MemberRecords.record("a", Member.State.STARTING, 1, 0),
                MemberRecords.record("b", Member.State.STARTING, 1, 0),
                MemberRecords.record("c", Member.State.STARTING, 1, 0));
        List<Member> shuffled = new ArrayList<>(records);
        shuffled.addAll(records);
        Collections.shuffle(shuffled, random);
        MembershipTable firstTable = new MembershipTable();
        MembershipTable secondTable = new MembershipTable();
        firstTable.mergeAll(initial);
        secondTable.mergeAll(initial);
        firstTable.mergeAll(records);
        shuffled.forEach(secondTable::merge);
        assertEquals(
                new HashSet<>(firstTable.view().all()),
                new HashSet<>(secondTable.view().all()));
        assertEquals(firstTable.hashes(), secondTable.hashes());
    }

    // Guards against a fault that occurred when records were ordered by state first and by version second: a suspicion
    // that was concurrent with a version report undid the report on daemons that received the suspicion last, and the
    // tables of the daemons never converged.
    @Test
    void concurrentSuspicionAndVersionReportAreBothKept() {
        Member suspected = MemberRecords.record("a", Member.State.SUSPECT, 1, 3);
        Member reported = MemberRecords.record("a", Member.State.UP, 1, 4);
        MembershipTable table = new MembershipTable();
        table.merge(reported);
        table.merge(suspected);
        Member merged = table.view().find("a").orElseThrow();
        assertEquals(Member.State.SUSPECT, merged.state());
        assertEquals(4, merged.version());
    }

    // A backend server that announced that it is leaving must get no new requests, even if an UP record that was sent
    // before the announcement arrives after it.
    @Test
    void leavingMemberReturnsOnlyWithAHigherIncarnation() {
        MembershipTable table = new MembershipTable();
        table.merge(MemberRecords.record("a", Member.State.LEAVING, 7, 3));
        table.merge(MemberRecords.record("a", Member.State.UP, 7, 4));
        assertEquals(Member.State.LEAVING, table.view().find("a").orElseThrow().state());
        table.merge(MemberRecords.record("a", Member.State.SUSPECT, 7, 4));
        assertEquals(Member.State.LEAVING, table.view().find("a").orElseThrow().state());
        table.merge(MemberRecords.record("a", Member.State.UP, 8, 0));
        assertEquals(Member.State.UP, table.view().find("a").orElseThrow().state());
    }

    // Daemons remove the tombstone of a member at different times. One that still has it must not add it again on
    // daemons that removed it, or the tombstone would circulate forever.
    @Test
    void tombstoneOfAnUnknownMemberIsIgnored() {
        MembershipTable table = new MembershipTable();
        table.merge(MemberRecords.record("a", Member.State.GONE, 1, 0));
        assertEquals(List.of(), List.copyOf(table.view().all()));
    }
}

package org.berylwick.internal.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.berylwick.lib.Member;
import org.berylwick.testing.ManualTimeSource;
import org.junit.jupiter.api.Test;

/** Tests when members are suspected, marked {@code GONE} and removed, and which records a daemon refutes. */
class FailureDetectorTest {
    private static final long SUSPICION_TIMEOUT_MILLIS = 5_000;
    private static final long TOMBSTONE_RETENTION_MILLIS = 60_000;

    private final ManualTimeSource time = new ManualTimeSource();
    private final FailureDetector detector =
            new FailureDetector(time, SUSPICION_TIMEOUT_MILLIS, TOMBSTONE_RETENTION_MILLIS);
    private final MembershipTable table = new MembershipTable();

    @Provide
    Arbitrary<Member> records() {
        return MemberRecords.anyRecord();
    }

    private void merge(Member record) {
        table.mergeAll(List.of(record)).forEach(detector::recordChanged);
    }

    private void addUpMembers(String... instances) {
        for (String instance : instances) {
            merge(MemberRecords.record(instance, Member.State.UP, 1, 1));
        }
    }

    private void failProbe(String instance) {
        detector.probeFailed(table.view().find(instance).orElseThrow()).ifPresent(this::merge);
    }

    private Member.State stateOf(String instance) {
        return table.view().find(instance).orElseThrow().state();
    }

    private void advanceAndExpire(long millis) {
        time.advance(Duration.ofMillis(millis));
        detector.removeExpiredSuspicions(table.view()).forEach(this::merge);
    }

    @Test
    void unreachableMemberIsSuspectedThenGoneAfterTheTimeout() {
        addUpMembers("a", "b", "c");
        failProbe("a");
        assertEquals(Member.State.SUSPECT, stateOf("a"));
        advanceAndExpire(SUSPICION_TIMEOUT_MILLIS - 1);
        assertEquals(Member.State.SUSPECT, stateOf("a"));
        advanceAndExpire(1);
        assertEquals(Member.State.GONE, stateOf("a"));
        advanceAndExpire(TOMBSTONE_RETENTION_MILLIS);
        assertEquals(List.of("a"), detector.removeExpiredTombstones());
    }

    @Test
    void refutedSuspicionDoesNotMarkTheMemberGone() {
        addUpMembers("a", "b", "c");
        failProbe("a");
        merge(MemberRecords.record("a", Member.State.UP, 2, 1));
        advanceAndExpire(SUSPICION_TIMEOUT_MILLIS * 2);
        assertEquals(Member.State.UP, stateOf("a"));
    }

    // A network failure isolates this daemon from all other daemons, which still run, while callers still reach it.
    // If it marked all of them GONE, no candidate would be left and it would refuse every request.
    @Test
    void isolatedDaemonMarksNoMemberGone() {
        addUpMembers("self", "a", "b", "c");
        List.of("a", "b", "c").forEach(this::failProbe);
        advanceAndExpire(SUSPICION_TIMEOUT_MILLIS * 10);
        List.of("a", "b", "c").forEach(instance -> assertEquals(Member.State.SUSPECT, stateOf(instance)));
    }

    // A daemon announces that it is leaving, finishes its requests and stops. It is not marked SUSPECT, because it is
    // sent no requests. Its record must expire nevertheless, or the table would retain every VM that was ever replaced.
    @Test
    void unreachableLeavingMemberIsGoneAfterTheTimeout() {
        addUpMembers("a", "b", "c");
        merge(MemberRecords.record("a", Member.State.LEAVING, 1, 1));
        failProbe("a");
        assertEquals(Member.State.LEAVING, stateOf("a"));
        advanceAndExpire(SUSPICION_TIMEOUT_MILLIS);
        assertEquals(Member.State.GONE, stateOf("a"));
    }

    @Property(seed = "5")
    void refutationSupersedesTheReportAndIsNotRepeated(
            @ForAll("records") Member self, @ForAll("records") Member reported) {
        Optional<Member> refutation = refutation(self, reported);
        if (refutation.isEmpty()) {
            return;
        }
        Member merged = MemberMerge.merge(refutation.get(), reported);
        assertEquals(refutation.get(), merged);
        assertEquals(OptionalLong.empty(), FailureDetector.refutingIncarnation(refutation.get(), reported));
    }

    @Property(seed = "5")
    void unrefutedReportDoesNotMarkTheMemberFailed(@ForAll("records") Member self, @ForAll("records") Member reported) {
        if (refutation(self, reported).isPresent() || reported.incarnation() < self.incarnation()) {
            return;
        }
        boolean reportedFailed = reported.state().compareTo(self.state()) > 0
                && (reported.state() == Member.State.SUSPECT || reported.state() == Member.State.GONE);
        assertTrue(!reportedFailed, () -> reported + " reports a failure and was not refuted by " + self);
    }

    private static Optional<Member> refutation(Member self, Member reported) {
        OptionalLong incarnation = FailureDetector.refutingIncarnation(self, reported);
        return incarnation.isEmpty()
                ? Optional.empty()
                : Optional.of(new Member(
                        reported.instance(),
                        self.service(),
                        self.address(),
                        self.place(),
                        self.labels(),
                        self.state(),
                        incarnation.getAsLong(),
                        self.slots(),
                        self.version(),
                        self.installedAtEpochMillis()));
    }
}

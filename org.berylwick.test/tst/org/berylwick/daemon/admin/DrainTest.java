package org.berylwick.daemon.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import org.berylwick.daemon.duty.SelfAnnouncement;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.lib.Member;
import org.berylwick.proto.SetDrainRequest;
import org.berylwick.testing.AdminFixture;
import org.junit.jupiter.api.Test;

/** Taking a backend server out of service and back in. */
class DrainTest {
    @Test
    void undrainIsNewerNewsThanTheDrain() {
        // Another daemon holds the record LEAVING; when the backend server comes back, the late copy of the old
        // record arrives again. Had the incarnation not risen, LEAVING would win and the server stay out for good.
        MembershipTable other = new MembershipTable();
        try (AdminFixture daemon = new AdminFixture()) {
            SelfAnnouncement self = daemon.self();
            self.setState(Member.State.UP);
            other.merge(self.current());
            self.drain();
            Member leaving = self.current();
            other.merge(leaving);
            assertEquals(Member.State.LEAVING, state(other));
            self.undrain();
            other.merge(self.current());
            other.merge(leaving);
            assertEquals(Member.State.STARTING, state(other));
        }
    }

    private static Member.State state(MembershipTable table) {
        return table.view().find("web-1").orElseThrow().state();
    }

    @Test
    void healthCheckDoesNotEndADrain() {
        try (AdminFixture daemon = new AdminFixture()) {
            daemon.self().drain();
            daemon.self().setState(Member.State.UP);
            assertEquals(Member.State.LEAVING, daemon.self().state());
        }
    }

    @Test
    void stoppingDaemonIsNotTakenBackIn() {
        try (AdminFixture daemon = new AdminFixture()) {
            daemon.self().setState(Member.State.LEAVING);
            assertFalse(daemon.self().undrain());
            StatusRuntimeException e = assertThrows(
                    StatusRuntimeException.class, () -> daemon.client().setDrain(SetDrainRequest.getDefaultInstance()));
            assertEquals(Status.Code.FAILED_PRECONDITION, e.getStatus().getCode());
        }
    }

    @Test
    void drainMeantForAnotherDaemonIsRefused() {
        try (AdminFixture daemon = new AdminFixture()) {
            SetDrainRequest request = SetDrainRequest.newBuilder()
                    .setDrain(true)
                    .setInstance("web-2")
                    .build();
            StatusRuntimeException e = assertThrows(
                    StatusRuntimeException.class, () -> daemon.client().setDrain(request));
            assertTrue(e.getMessage().contains("web-1"), e.getMessage());
            assertEquals(Member.State.STARTING, daemon.self().state());
        }
    }
}

package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.Incarnation;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.ServerConnection;
import org.junit.jupiter.api.Test;

/** Tests which incarnation of a backend server an owner sends requests, by reports that are late or out of order. */
class OwnerLeaveTest {
    private final List<Refusal.Reason> refusals = new ArrayList<>();
    private Runnable openConnection = () -> {};
    private final OwnerRig rig = new OwnerRig(() -> new IdleServer());
    private final Owner owner = rig.owner;

    /** A backend server that gets no requests, and to which connections open when a test says so. */
    private final class IdleServer extends InMemoryBackendServer {
        IdleServer() {
            super(rig.clock);
        }

        @Override
        public void acquire(long idleLimitNanos, Consumer<ServerConnection> onConnection, Consumer<String> onFailure) {
            openConnection = () -> onConnection.accept(this);
        }

        @Override
        public void send(HttpRequest request, RequestBody body, HttpResponseHandler handler) {
            throw new AssertionError("no request is sent");
        }
    }

    private void report(String incarnation, long sequence, BackendState state) {
        BackendReport report = OwnerRig.report(incarnation, sequence, state, 2);
        if (state == BackendState.DRAINING) {
            owner.onDraining(report, () -> {});
        } else {
            owner.onReport(report);
        }
    }

    private final class RefusalListener extends UnexpectedOutcome {
        @Override
        public void onRefused(Refusal refusal) {
            refusals.add(refusal.reason());
        }
    }

    private boolean acceptsRequests() {
        return owner.acceptsRequestsFor("work");
    }

    /** Guards against an acknowledged leave without effect because an earlier heartbeat carried a higher number. */
    @Test
    void leaveBehindAHigherSequenceNumberIsBelieved() {
        report("i-1", 900, BackendState.READY);
        report("i-1", 5, BackendState.DRAINING);
        report("i-1", 901, BackendState.READY);
        assertFalse(acceptsRequests());
    }

    /** Guards against an acknowledged leave without effect because another incarnation reported just before. */
    @Test
    void leaveOfAnIncarnationThatIsNotCurrentIsBelieved() {
        report("i-1", 2, BackendState.READY);
        report("i-2", 7, BackendState.DRAINING);
        owner.onLeave("i-1", () -> {});
        report("i-2", 6, BackendState.READY);
        assertFalse(acceptsRequests());
    }

    /** Guards against a leave that is forgotten when the backend server falls silent after it. */
    @Test
    void leaveIsBelievedAfterSilence() {
        report("i-1", 1, BackendState.READY);
        report("i-1", 2, BackendState.DRAINING);
        rig.clock.runUntil(20 * OwnerRig.SECONDS);
        owner.tick();
        report("i-1", 3, BackendState.READY);
        assertFalse(acceptsRequests());
    }

    /** Guards against a delayed heartbeat of a crashed incarnation in place of one that drains. */
    @Test
    void delayedHeartbeatOfAnEarlierIncarnationDoesNotReplaceOneThatDrains() {
        report("i-2", 1, BackendState.READY);
        report("i-2", 2, BackendState.DRAINING);
        report("i-1", 40, BackendState.READY);
        assertFalse(acceptsRequests());
    }

    /** Guards against the running incarnation being ignored for good after a delayed heartbeat of an earlier one. */
    @Test
    void runningIncarnationReturnsAfterADelayedHeartbeatOfAnEarlierOne() {
        owner.onHealthy(OwnerRig.report("i-2", -1, BackendState.READY, 2));
        report("i-1", 40, BackendState.READY);
        report("i-2", 3, BackendState.READY);
        assertTrue(
                owner.backend().filter(b -> b.incarnation().id().equals("i-2")).isPresent());
        assertTrue(acceptsRequests());
    }

    /** Guards against the running incarnation being replaced by a delayed heartbeat of one that has left. */
    @Test
    void delayedDrainingHeartbeatDoesNotReplaceTheRunningIncarnation() {
        owner.onLeave("i-1", () -> {});
        owner.onHealthy(OwnerRig.report("i-2", -1, BackendState.READY, 2));
        report("i-1", 40, BackendState.DRAINING);
        assertTrue(acceptsRequests());
    }

    /** Guards against late heartbeats taken for new ones, and new ones for late ones, while the record is unknown. */
    @Test
    void onlyAHeartbeatAfterTheLongestDelayIsEnoughAlone() {
        owner.setDepartureRecord((incarnation, onRecorded) -> {});
        for (long second = 1; second <= 10; second++) {
            rig.clock.runUntil(second * OwnerRig.SECONDS);
            report("i-1", second, BackendState.READY);
            assertFalse(acceptsRequests(), "after " + second + " s");
        }
        rig.clock.runUntil(11 * OwnerRig.SECONDS);
        owner.onFormerState(Incarnation.of("i-1"), BackendState.READY);
        assertFalse(acceptsRequests(), "the last heartbeat arrived before");
        report("i-1", 11, BackendState.READY);
        assertTrue(acceptsRequests());
    }

    /** Guards against a request that is sent after the leave because its connection was still being opened. */
    @Test
    void requestWhoseConnectionOpensAfterTheLeaveIsNotSent() {
        report("i-1", 1, BackendState.READY);
        owner.offer(rig.call("r", 0), new RefusalListener());
        owner.onLeave("i-1", () -> {});
        openConnection.run();
        rig.clock.runUntil(OwnerRig.MILLIS);
        assertEquals(List.of(Refusal.Reason.NOT_HERE), refusals);
    }
}

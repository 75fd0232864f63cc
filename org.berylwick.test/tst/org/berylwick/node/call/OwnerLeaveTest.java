package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.quarantine.HoldLog;
import org.berylwick.node.quarantine.Quarantine;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.ServerConnection;
import org.berylwick.node.transport.VmLink;
import org.junit.jupiter.api.Test;

/** Tests which incarnation of a backend server an owner sends requests, by reports that are late or out of order. */
class OwnerLeaveTest {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long HEARTBEAT_NANOS = 1_500_000_000L;
    private static final HeaderNames HEADER_NAMES = new HeaderNames(
            "id", "deadline", "signature", "target", "load", "not-run", "caller", "instance", "limit", "leaving");

    private final VirtualClock clock = new VirtualClock();
    private final List<Refusal.Reason> refusals = new ArrayList<>();
    private Runnable openConnection = () -> {};
    private final EventLog log = new EventLog("test", OutputStream.nullOutputStream());
    private final Owner owner = new Owner(
            clock,
            address -> new IdleServer(),
            HEADER_NAMES,
            VmLink.of(1_000, clock),
            HEARTBEAT_NANOS,
            new Counters(),
            log,
            () -> {},
            new Quarantine(clock::now, new HoldLog(new Instruments(new Counters(), log))),
            Map::of);

    /** A backend server that gets no requests, and to which connections open when a test says so. */
    private final class IdleServer extends InMemoryBackendServer {
        IdleServer() {
            super(clock);
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
        BackendReport report = new BackendReport(
                incarnation, "work", new InetSocketAddress("127.0.0.1", 1), "zone", 2, state, sequence, 0);
        if (state == BackendState.DRAINING) {
            owner.onDraining(report, () -> {});
        } else {
            owner.onReport(report);
        }
    }

    private void offerRequest() {
        CallSpec call = new CallSpec(
                "r",
                HttpMethod.GET,
                "/x",
                Headers.empty().set(HEADER_NAMES.requestId(), "r"),
                RequestBody.of(Unpooled.EMPTY_BUFFER),
                "work",
                "caller",
                new RequestClass(RouteKind.IDEMPOTENT, 1, 600),
                600 * NANOS_PER_MILLISECOND,
                2_000 * NANOS_PER_MILLISECOND,
                0,
                1,
                0,
                0);
        owner.offer(call, new RefusalListener());
    }

    private final class RefusalListener implements AttemptListener {
        @Override
        public void onHead(int status, HttpHeaders headers, OwnerLoad load) {
            throw new AssertionError("there are no responses");
        }

        @Override
        public void onBody(ByteBuf part) {
            part.release();
        }

        @Override
        public void onEnd() {
            throw new AssertionError("there are no responses");
        }

        @Override
        public void onRefused(Refusal refusal) {
            refusals.add(refusal.reason());
        }

        @Override
        public void onLost(Loss loss) {
            throw new AssertionError(loss.cause());
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
        clock.runUntil(20 * NANOS_PER_SECOND);
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
        owner.onHealthy(new BackendReport(
                "i-2", "work", new InetSocketAddress("127.0.0.1", 1), "zone", 2, BackendState.READY, -1, 0));
        report("i-1", 40, BackendState.READY);
        report("i-2", 3, BackendState.READY);
        assertTrue(owner.backend().filter(b -> b.incarnation().equals("i-2")).isPresent());
        assertTrue(acceptsRequests());
    }

    /** Guards against the running incarnation being replaced by a delayed heartbeat of one that has left. */
    @Test
    void delayedDrainingHeartbeatDoesNotReplaceTheRunningIncarnation() {
        owner.onLeave("i-1", () -> {});
        owner.onHealthy(new BackendReport(
                "i-2", "work", new InetSocketAddress("127.0.0.1", 1), "zone", 2, BackendState.READY, -1, 0));
        report("i-1", 40, BackendState.DRAINING);
        assertTrue(acceptsRequests());
    }

    /** Guards against a request that is sent after the leave because its connection was still being opened. */
    @Test
    void requestWhoseConnectionOpensAfterTheLeaveIsNotSent() {
        report("i-1", 1, BackendState.READY);
        offerRequest();
        owner.onLeave("i-1", () -> {});
        openConnection.run();
        clock.runUntil(NANOS_PER_MILLISECOND);
        assertEquals(List.of(Refusal.Reason.NOT_HERE), refusals);
    }
}

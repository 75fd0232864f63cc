package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.Map;
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
import org.berylwick.node.transport.VmLink;
import org.junit.jupiter.api.Test;

/** Tests when an owner marks a backend server absent because it sends no heartbeats. */
class OwnerSilenceTest {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLISECOND;
    private static final long HEARTBEAT_NANOS = 1_500 * NANOS_PER_MILLISECOND;
    private static final HeaderNames HEADER_NAMES = new HeaderNames(
            "id", "deadline", "signature", "target", "load", "not-run", "caller", "instance", "limit", "leaving");

    private final VirtualClock clock = new VirtualClock();
    private final EventLog log = new EventLog("test", OutputStream.nullOutputStream());
    private final Owner owner = new Owner(
            clock,
            address -> new RespondingServer(),
            HEADER_NAMES,
            VmLink.of(1_000, clock),
            HEARTBEAT_NANOS,
            new Counters(),
            log,
            () -> {},
            new Quarantine(clock::now, new HoldLog(new Instruments(new Counters(), log))),
            Map::of);
    private int responseCount;

    /** A backend server that answers each request after 20 ms, on one shared connection. */
    private final class RespondingServer extends InMemoryBackendServer {
        RespondingServer() {
            super(clock);
        }

        @Override
        public void send(HttpRequest request, RequestBody body, HttpResponseHandler handler) {
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HEADER_NAMES.requestId(), request.headers().get(HEADER_NAMES.requestId()));
            head.headers().set(HEADER_NAMES.signature(), "s");
            clock.after(20 * NANOS_PER_MILLISECOND, () -> {
                handler.onHead(head);
                handler.onEnd();
            });
        }

        @Override
        public int servedRequests() {
            return 1;
        }
    }

    private final class CountingListener implements AttemptListener {
        @Override
        public void onHead(int status, HttpHeaders headers, OwnerLoad load) {
            assertEquals(200, status);
        }

        @Override
        public void onBody(ByteBuf part) {
            part.release();
        }

        @Override
        public void onEnd() {
            responseCount++;
        }

        @Override
        public void onRefused(Refusal refusal) {
            // Refused requests are not counted.
        }

        @Override
        public void onLost(Loss loss) {
            throw new AssertionError(loss.cause());
        }
    }

    private void report() {
        owner.onReport(new BackendReport(
                "i-1", "work", new InetSocketAddress("127.0.0.1", 1), "zone", 2, BackendState.READY, 1, 0));
    }

    private void tickEverySecond() {
        owner.tick();
        clock.after(NANOS_PER_SECOND, this::tickEverySecond);
    }

    private void sendRequestEvery(long nanos) {
        HttpHeaders headers = Headers.empty().set(HEADER_NAMES.requestId(), "r");
        CallSpec call = new CallSpec(
                "r",
                HttpMethod.GET,
                "/x",
                headers,
                RequestBody.of(Unpooled.EMPTY_BUFFER),
                "work",
                "caller",
                new RequestClass(RouteKind.IDEMPOTENT, 1, 600),
                clock.now() + 600 * NANOS_PER_MILLISECOND,
                clock.now() + 2 * NANOS_PER_SECOND,
                0,
                1,
                0,
                0);
        owner.offer(call, new CountingListener());
        clock.after(nanos, () -> sendRequestEvery(nanos));
    }

    /**
     * Guards against marking a backend server absent although it answers all requests. Its heartbeats do not arrive, as
     * happens while the sender's other calls to the node are delayed. If responses did not count as activity, its
     * callers would lose it at the first moment without a running request.
     */
    @Test
    void backendServerThatRespondsStaysAvailableWithoutHeartbeats() {
        report();
        tickEverySecond();
        sendRequestEvery(700 * NANOS_PER_MILLISECOND);
        clock.runUntil(30 * NANOS_PER_SECOND);
        assertTrue(owner.acceptsRequestsFor("work"), "requests answered: " + responseCount);
        assertEquals(43, responseCount);
    }

    /** A backend server that neither receives requests nor sends heartbeats is marked absent after six intervals. */
    @Test
    void idleBackendServerWithoutHeartbeatsIsMarkedAbsent() {
        report();
        tickEverySecond();
        clock.runUntil(8 * NANOS_PER_SECOND);
        assertTrue(owner.acceptsRequestsFor("work"));
        clock.runUntil(11 * NANOS_PER_SECOND);
        assertTrue(!owner.acceptsRequestsFor("work"));
    }
}

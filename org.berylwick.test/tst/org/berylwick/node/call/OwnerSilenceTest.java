package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;
import org.junit.jupiter.api.Test;

/** Tests when an owner marks a backend server absent because it sends no heartbeats. */
class OwnerSilenceTest {
    private final OwnerRig rig = new OwnerRig(() -> new RespondingServer());
    private final VirtualClock clock = rig.clock;
    private final Owner owner = rig.owner;
    private int responseCount;

    /** A backend server that answers each request after 20 ms, on one shared connection. */
    private final class RespondingServer extends InMemoryBackendServer {
        RespondingServer() {
            super(rig.clock);
        }

        @Override
        public void send(HttpRequest request, RequestBody body, HttpResponseHandler handler) {
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers()
                    .set(OwnerRig.HEADER_NAMES.requestId(), request.headers().get(OwnerRig.HEADER_NAMES.requestId()));
            head.headers().set(OwnerRig.HEADER_NAMES.signature(), "s");
            clock.after(20 * OwnerRig.MILLIS, () -> {
                handler.onHead(head);
                handler.onEnd();
            });
        }

        @Override
        public int servedRequests() {
            return 1;
        }
    }

    private final class CountingListener extends UnexpectedOutcome {
        @Override
        public void onHead(int status, HttpHeaders headers, OwnerLoad load) {
            assertEquals(200, status);
        }

        @Override
        public void onEnd() {
            responseCount++;
        }

        @Override
        public void onRefused(Refusal refusal) {
            // Refused requests are not counted.
        }
    }

    private void report() {
        owner.onReport(OwnerRig.report("i-1", 1, BackendState.READY, 2));
    }

    private void tickEverySecond() {
        owner.tick();
        clock.after(OwnerRig.SECONDS, this::tickEverySecond);
    }

    private void sendRequestEvery(long nanos) {
        owner.offer(rig.call("r", 0), new CountingListener());
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
        sendRequestEvery(700 * OwnerRig.MILLIS);
        clock.runUntil(30 * OwnerRig.SECONDS);
        assertTrue(owner.acceptsRequestsFor("work"), "requests answered: " + responseCount);
        assertEquals(43, responseCount);
    }

    /** A backend server that neither receives requests nor sends heartbeats is marked absent after six intervals. */
    @Test
    void idleBackendServerWithoutHeartbeatsIsMarkedAbsent() {
        report();
        tickEverySecond();
        clock.runUntil(8 * OwnerRig.SECONDS);
        assertTrue(owner.acceptsRequestsFor("work"));
        clock.runUntil(11 * OwnerRig.SECONDS);
        assertTrue(!owner.acceptsRequestsFor("work"));
    }
}

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
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.ServerConnection;
import org.berylwick.node.transport.ServerConnectionPool;
import org.berylwick.node.transport.VmLink;
import org.junit.jupiter.api.Test;

/** When a backend server that reports nothing counts as gone. */
class OwnerSilenceTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long HEARTBEAT = 1_500 * MS;
    private static final HeaderNames NAMES =
            new HeaderNames("id", "deadline", "signature", "target", "load", "not-run", "caller", "instance");

    private final VirtualClock clock = new VirtualClock();
    private final EventLog log = new EventLog("test", OutputStream.nullOutputStream());
    private final Owner owner = new Owner(
            clock,
            address -> new Answering(),
            NAMES,
            VmLink.of(1_000, clock),
            HEARTBEAT,
            new Counters(),
            log,
            () -> {});
    private int answered;

    /** A backend server that answers all after 20 ms. */
    private final class Answering implements ServerConnectionPool, ServerConnection {
        @Override
        public void acquire(long freshest, Consumer<ServerConnection> onOpen, Consumer<String> onFailure) {
            onOpen.accept(this);
        }

        @Override
        public void send(HttpRequest request, RequestBody body, HttpResponseHandler waiter) {
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(NAMES.requestId(), request.headers().get(NAMES.requestId()));
            head.headers().set(NAMES.signature(), "s");
            clock.after(20 * MS, () -> {
                waiter.onHead(head);
                waiter.onEnd();
            });
        }

        @Override
        public boolean isRequestFullySent() {
            return true;
        }

        @Override
        public long openedCount() {
            return 1;
        }

        @Override
        public void evictIdle() {
            // Nothing is idle for long.
        }

        @Override
        public void close() {
            // It goes on.
        }

        @Override
        public void returnUnused() {
            // There is one for all.
        }

        @Override
        public void setAutoRead(boolean on) {
            // Answers are short.
        }

        @Override
        public void abort() {
            // Answers always come.
        }

        @Override
        public int servedRequests() {
            return 1;
        }

        @Override
        public long idleSince() {
            return clock.now();
        }
    }

    private final class Counting implements AttemptListener {
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
            answered++;
        }

        @Override
        public void onRefused(Refusal refusal) {
            // Not counted.
        }

        @Override
        public void onLost(String cause) {
            throw new AssertionError(cause);
        }
    }

    private void report() {
        owner.onReport(new BackendReport(
                "i-1", "work", new InetSocketAddress("127.0.0.1", 1), "zone", 2, BackendState.READY, 1, 0));
    }

    private void tickEverySecond() {
        owner.tick();
        clock.after(SECOND, this::tickEverySecond);
    }

    private void callEvery(long nanos) {
        HttpHeaders headers = Headers.empty().set(NAMES.requestId(), "r");
        CallSpec call = new CallSpec(
                "r",
                HttpMethod.GET,
                "/x",
                headers,
                RequestBody.of(Unpooled.EMPTY_BUFFER),
                "work",
                "caller",
                new RequestClass(RouteKind.IDEMPOTENT, 1, 600),
                clock.now() + 600 * MS,
                clock.now() + 2 * SECOND,
                0,
                1,
                0);
        owner.offer(call, new Counting());
        clock.after(nanos, () -> callEvery(nanos));
    }

    /**
     * Heartbeats that do not come, as they do not while their sender's other calls to the node are held up: the backend
     * server answers all it is sent, and its callers would lose it at the first moment without a request under way.
     */
    @Test
    void backendServerThatAnswersIsThereWithoutHeartbeats() {
        report();
        tickEverySecond();
        callEvery(700 * MS);
        clock.runUntil(30 * SECOND);
        assertTrue(owner.takesWork("work"), "answered " + answered);
        assertEquals(43, answered);
    }

    /** One that is sent nothing and says nothing is gone after six heartbeats. */
    @Test
    void backendServerThatSaysNothingIsGone() {
        report();
        tickEverySecond();
        clock.runUntil(8 * SECOND);
        assertTrue(owner.takesWork("work"));
        clock.runUntil(11 * SECOND);
        assertTrue(!owner.takesWork("work"));
    }
}

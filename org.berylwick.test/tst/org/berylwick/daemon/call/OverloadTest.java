package org.berylwick.daemon.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.daemon.call.CallPathCluster.TestDaemon;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Verifies admission when a backend server gets more concurrent requests than it has slots. */
class OverloadTest {
    private static final int SLOTS = 12;
    private static final long RUN_MILLIS_AFTER_RELEASE = 5;

    private final CallPathCluster cluster = new CallPathCluster(TestConfiguration.TOML);
    private final CountDownLatch releaseLatch = new CountDownLatch(1);
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger peakRunning = new AtomicInteger();
    private final RawServer server = new RawServer(this::serveRequest);
    private final TestDaemon entry = cluster.addDaemon("entry", "none", server.address());
    private final TestDaemon owner = cluster.addMember("a", "web", server.address());
    private final WebClient client = WebClient.builder("h2c://" + entry.callerAddress())
            .responseTimeoutMillis(60_000)
            .build();

    @AfterEach
    void close() {
        releaseLatch.countDown();
        assertEquals(List.of(), cluster.breachedInvariants());
        cluster.close();
        server.close();
    }

    /** Requests for archives and tiles run until they are released, orders are answered immediately. */
    private void serveRequest(RawServer.Connection connection, RawServer.Request request) throws IOException {
        peakRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
        try {
            if (!request.path().startsWith("/orders")) {
                releaseLatch.await();
                Thread.sleep(RUN_MILLIS_AFTER_RELEASE);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        } finally {
            running.decrementAndGet();
        }
        connection.answer(request, request.id());
    }

    private HttpResponse send(HttpMethod method, String path, String requestId) {
        return client.execute(HttpRequest.of(RequestHeaders.builder(method, path)
                .set("host", "one.example")
                .set("x-request-id", requestId)
                .build()));
    }

    private List<CompletableFuture<AggregatedHttpResponse>> sendConcurrently(
            String path, String requestIdPrefix, int count) {
        List<CompletableFuture<AggregatedHttpResponse>> responses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            responses.add(send(HttpMethod.GET, path, requestIdPrefix + i).aggregate());
        }
        return responses;
    }

    @Test
    void requestsBeyondTheSlotsAreQueuedOrRefusedWithoutRunning() {
        // 200 concurrent requests for one backend server with 12 slots: it never runs more than 12 at a time, some
        // requests wait in the queue, and all others are refused with Retry-After and were not run.
        List<CompletableFuture<AggregatedHttpResponse>> responses = sendConcurrently("/tiles/1", "t-", 200);
        Await.until("all slots in use", () -> running.get() == SLOTS, running::get);
        Await.until(
                "a request was refused", () -> responses.stream().anyMatch(CompletableFuture::isDone), running::get);
        releaseLatch.countDown();
        int refusedCount = 0;
        for (int i = 0; i < responses.size(); i++) {
            AggregatedHttpResponse response = responses.get(i).join();
            boolean wasRun = response.status().code() == 200;
            assertEquals(
                    wasRun ? 1 : 0, server.runs("t-" + i), response.status().toString());
            if (!wasRun) {
                refusedCount++;
                assertEquals(503, response.status().code());
                assertTrue(response.headers().getLong("retry-after", 0) > 0);
            }
        }
        assertTrue(refusedCount > 0 && refusedCount < responses.size(), "refused requests: " + refusedCount);
        assertEquals(SLOTS, peakRunning.get());
    }

    @Test
    void connectionsAreReusedWhenSlotsChangeHands() {
        // Requests arrive in waves, so that slots constantly pass from one request to the next. The backend server
        // accepts few connections, and each is expensive for it. A slot that is released before its connection is back
        // in the pool would make the next request open another connection.
        releaseLatch.countDown();
        for (int wave = 0; wave < 20; wave++) {
            sendConcurrently("/tiles/1", "w" + wave + "-", 48).forEach(CompletableFuture::join);
        }
        assertTrue(peakRunning.get() <= SLOTS, "peak of running requests: " + peakRunning.get());
        assertTrue(server.connections() <= SLOTS, "connections: " + server.connections());
    }

    @Test
    void confirmationsRunWhileBulkTransfersHoldTheirMaximumSlots() {
        // 40 long bulk transfers are running or queued. Confirmation requests that arrive then run immediately, in
        // slots that are not available to bulk transfers.
        List<CompletableFuture<AggregatedHttpResponse>> transfers = sendConcurrently("/archives/1", "arc-", 40);
        Await.until("transfers are running", () -> running.get() > 0, running::get);
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    200,
                    send(HttpMethod.POST, "/orders", "o-" + i)
                            .aggregate()
                            .join()
                            .status()
                            .code());
        }
        assertTrue(peakRunning.get() < SLOTS, "peak of running requests: " + peakRunning.get());
        assertFalse(transfers.stream().allMatch(CompletableFuture::isDone));
    }

    @Test
    void cancelledRequestLeavesTheQueueAndIsNotRun() {
        // All slots are in use and one more request is queued. When its caller cancels it, it must be removed from the
        // queue and must not be run later.
        sendConcurrently("/tiles/1", "t-", SLOTS);
        Await.until("all slots in use", () -> running.get() == SLOTS, running::get);
        HttpResponse queued = send(HttpMethod.GET, "/tiles/1", "gone");
        queued.subscribe();
        Await.until("request is queued", () -> owner.gaugeValue("limit.queue.waiting.READ") == 1, running::get);
        queued.abort();
        Await.until("request left the queue", () -> owner.gaugeValue("limit.queue.waiting.READ") == 0, running::get);
        assertEquals(1, owner.counterValue("limit.cancelled.READ"));
        releaseLatch.countDown();
        assertEquals(
                200,
                send(HttpMethod.GET, "/tiles/1", "next")
                        .aggregate()
                        .join()
                        .status()
                        .code());
        assertEquals(0, server.runs("gone"));
    }
}

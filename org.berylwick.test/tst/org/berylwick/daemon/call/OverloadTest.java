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

/** What callers get, and what the backend server sees, when more comes in than it has slots for. */
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

    /** Archives and tiles run until they are released, all else is answered at once. */
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
        // Two hundred callers come at once to one backend server of 12 slots. It never runs or connects more than 12,
        // some callers wait their turn, and each of the others is told that its request was not run, which is so, and
        // when to come back.
        List<CompletableFuture<AggregatedHttpResponse>> responses = sendConcurrently("/tiles/1", "t-", 200);
        Await.until("all slots taken", () -> running.get() == SLOTS, running::get);
        Await.until("somebody refused", () -> responses.stream().anyMatch(CompletableFuture::isDone), running::get);
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
        assertTrue(refusedCount > 0 && refusedCount < responses.size(), "refused " + refusedCount);
        assertEquals(SLOTS, peakRunning.get());
    }

    @Test
    void connectionsAreReusedWhenSlotsChangeHands() {
        // Callers come in waves, so that all the time some request ends and the next one gets its slot. The backend
        // server accepts few connections and each costs it time; it must not see a new one for a slot that changes
        // hands while the old connection is on its way back to the idle ones.
        releaseLatch.countDown();
        for (int wave = 0; wave < 20; wave++) {
            sendConcurrently("/tiles/1", "w" + wave + "-", 48).forEach(CompletableFuture::join);
        }
        assertTrue(peakRunning.get() <= SLOTS, "peak " + peakRunning.get());
        assertTrue(server.connections() <= SLOTS, "connections " + server.connections());
    }

    @Test
    void confirmationsRunWhileBulkTransfersHoldTheirMaximumSlots() {
        // Clinics start forty archive transfers, which last. An order that comes then is run at once, in a slot that
        // no transfer may hold.
        List<CompletableFuture<AggregatedHttpResponse>> transfers = sendConcurrently("/archives/1", "arc-", 40);
        Await.until("transfers run", () -> running.get() > 0, running::get);
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    200,
                    send(HttpMethod.POST, "/orders", "o-" + i)
                            .aggregate()
                            .join()
                            .status()
                            .code());
        }
        assertTrue(peakRunning.get() < SLOTS, "peak " + peakRunning.get());
        assertFalse(transfers.stream().allMatch(CompletableFuture::isDone));
    }

    @Test
    void cancelledRequestLeavesTheQueueAndIsNotRun() {
        // All slots are taken and one more caller waits for one. It goes away; its request must leave the queue then,
        // and not be run later for nobody.
        sendConcurrently("/tiles/1", "t-", SLOTS);
        Await.until("all slots taken", () -> running.get() == SLOTS, running::get);
        HttpResponse queued = send(HttpMethod.GET, "/tiles/1", "gone");
        queued.subscribe();
        Await.until("it waits", () -> owner.gaugeValue("limit.queue.waiting.READ") == 1, running::get);
        queued.abort();
        Await.until("it left", () -> owner.gaugeValue("limit.queue.waiting.READ") == 0, running::get);
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

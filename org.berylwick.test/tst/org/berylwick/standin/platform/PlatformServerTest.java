package org.berylwick.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.bench.fleet.LocalFleet;
import org.berylwick.errors.StoreError;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.HttpPlatformStore;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.Precondition;
import org.berylwick.transport.StoredObject;
import org.berylwick.transport.WatchBatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlatformServerTest {
    private static final Duration LONG = Duration.ofMinutes(10);
    private static final ObjectKey HEAD = new ObjectKey("head");

    private final PlatformServer server = new PlatformServer(new HostPort("127.0.0.1", 0));
    private HttpPlatformStore store;

    @BeforeEach
    void start() {
        server.start();
        store = new HttpPlatformStore(URI.create("http://" + server.address()), TimeSource.SYSTEM);
    }

    @AfterEach
    void stop() {
        store.close();
        server.close();
    }

    private static Deadline soon() {
        return Deadline.after(TimeSource.SYSTEM, Duration.ofSeconds(20));
    }

    private Result<Long, StoreError> put(String value) {
        return store.put(HEAD, value.getBytes(StandardCharsets.UTF_8), new Precondition.None(), soon());
    }

    private String get() {
        Result<Optional<StoredObject>, StoreError> got = store.get(HEAD, soon());
        assertInstanceOf(Result.Ok.class, got);
        return ((Result.Ok<Optional<StoredObject>, StoreError>) got)
                .value()
                .map(o -> new String(o.value(), StandardCharsets.UTF_8))
                .orElse("");
    }

    @Test
    void aWaitingWatchIsCountedOnce() {
        CompletableFuture<Result<WatchBatch, StoreError>> watch =
                CompletableFuture.supplyAsync(() -> store.watch("", 0, soon()));
        LocalFleet.await(
                "the watch waits",
                () -> server.counter().counts().byKind().get("watch").total() == 1);
        put("a");
        assertInstanceOf(Result.Ok.class, watch.join());
        get();
        CallCounter.Counts counts = server.counter().counts();
        assertEquals(3, counts.all().total());
        assertEquals(1, counts.byKind().get("watch").total());
        assertEquals(1L, counts.bySegment().get("write head"));
        assertTrue(counts.all().peakSecond() >= 1);
    }

    @Test
    void callsOverTheRateAreRefusedWithRetryAfter() {
        server.setRates(0, 1);
        assertInstanceOf(Result.Ok.class, put("a"));
        assertEquals(Result.err(new StoreError.RateLimited(1_000)), put("b"));
        assertEquals("a", get());
        assertEquals(1, server.counter().counts().refused());
    }

    @Test
    void anAnswerIsLostAfterTheWriteTookEffect() {
        // The caller writes; the store applies it and its connection closes without an answer. The caller
        // must learn that it does not know, and reading must show that the write took effect.
        server.faults().loseAnswers(1, false);
        switch (put("a")) {
            case Result.Err<Long, StoreError>(StoreError error) ->
                assertInstanceOf(StoreError.OutcomeUnknown.class, error);
            case Result.Ok<Long, StoreError> answered -> fail("answered: " + answered);
        }
        assertEquals("a", get());
        assertEquals(1, server.faults().struck().lostAnswers());
    }

    @Test
    void anOutageEndsWaitingWatchesAtOnce() {
        // A watch waits for minutes; the store goes out. The caller must hear of it through the watch,
        // not only at the watch's own end, and every call fails until the outage is over.
        Deadline late = Deadline.after(TimeSource.SYSTEM, LONG);
        CompletableFuture<Result<WatchBatch, StoreError>> watch =
                CompletableFuture.supplyAsync(() -> store.watch("", 0, late));
        LocalFleet.await(
                "the watch waits",
                () -> server.counter().counts().byKind().get("watch").total() == 1);
        server.faults().startOutage(LONG);
        assertInstanceOf(Result.Err.class, watch.join());
        assertInstanceOf(Result.Err.class, put("a"));
        server.faults().clear();
        assertEquals("", get());
    }

    @Test
    void connectionsAreRefusedAndLaterAcceptedAtTheSameAddress() {
        put("a");
        server.refuseConnections(LONG);
        LocalFleet.await("a refused call", () -> store.get(HEAD, soon()) instanceof Result.Err);
        server.acceptConnections();
        LocalFleet.await("an answered call", () -> store.get(HEAD, soon()) instanceof Result.Ok);
        assertEquals("a", get());
    }

    @Test
    void anOlderHeadIsServedForAWhile() {
        put("a");
        put("b");
        server.serveStale("head", 1, LONG);
        assertEquals("a", get());
        assertInstanceOf(Result.Ok.class, put("c"), "writes go on");
        assertEquals("a", get());
        server.faults().clear();
        assertEquals("c", get());
    }
}

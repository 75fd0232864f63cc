package org.berylwick.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.testing.CutResponse.Ending;

/**
 * Sends requests whose responses are cut, and checks what their callers get: no success that is not whole, no promise
 * that a request was not run after it was, and no second run of a POST.
 */
public final class CutSweep {
    private static final int MAX_TRIES = 1_000;
    private static final int CALLERS = 48;
    /** Time after which bytes that were sent have been read. */
    private static final int READ_MILLIS = 3;

    private static final int RETRY_MILLIS = 5;
    private static final int SETTLE_MILLIS = 200;
    /** Length of a request id; the same for all, so that a cut falls on the same byte of each response. */
    private static final String ID_FORMAT = "c%07d";

    private final CutResponse.Form wholeForm;
    private final Caller caller;
    private final AtomicInteger nextId = new AtomicInteger();
    private final Map<String, CutResponse> cuts = new ConcurrentHashMap<>();
    private final Map<String, CallerResponse> responses = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Set<String> cutIds = ConcurrentHashMap.newKeySet();
    private final Set<String> wholeIds = ConcurrentHashMap.newKeySet();
    private final Set<RawServer.Connection> usedConnections = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();

    /** Sends one request. */
    @FunctionalInterface
    public interface Caller {
        /** Returns the response to a request with this id. */
        CallerResponse call(CutResponse cut, String id) throws IOException;
    }

    /**
     * @param wholeForm response to requests that only prepare a connection
     * @param caller sends the requests
     */
    public CutSweep(CutResponse.Form wholeForm, Caller caller) {
        this.wholeForm = wholeForm;
        this.caller = caller;
    }

    static String id(int number) {
        return String.format(ID_FORMAT, number);
    }

    /** The script of the servers whose responses are cut. */
    public void respond(RawServer.Connection connection, RawServer.Request request) throws IOException {
        String id = request.id();
        String bodyLength = request.header("content-length");
        connection.read(bodyLength.isEmpty() ? 0 : Integer.parseInt(bodyLength));
        runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
        CutResponse cut = cuts.get(id);
        boolean reused = !usedConnections.add(connection);
        if (cut == null || cut.onReusedConnection() && !reused) {
            wholeIds.add(id);
            connection.write(wholeForm.text(id));
            return;
        }
        cutIds.add(id);
        connection.write(cut.sentText(id));
        end(connection, cut.ending());
    }

    private static void end(RawServer.Connection connection, Ending ending) throws IOException {
        switch (ending) {
            case END_OF_STREAM -> connection.close();
            case LATER_END_OF_STREAM -> {
                sleep(READ_MILLIS);
                connection.close();
            }
            case RESET -> {
                sleep(READ_MILLIS);
                connection.reset();
            }
            case SILENCE -> connection.awaitClosedByPeer();
        }
    }

    private static void sleep(int millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Cuts every form after each of its bytes, on new and on reused connections. */
    public void runOnNewAndReusedConnections(List<CutResponse.Form> forms) throws Exception {
        run(CutResponse.everyCut(forms, false));
        run(CutResponse.everyCut(forms, true));
        // Last, since a server that was silent is avoided for a while.
        run(CutResponse.silences(forms));
    }

    /** Makes sure that each response is cut once, and that no caller takes one for what it is not. */
    private void run(List<CutResponse> sweep) throws Exception {
        try (ExecutorService callers = Executors.newFixedThreadPool(CALLERS)) {
            List<Future<?>> results = new ArrayList<>();
            for (CutResponse cut : sweep) {
                results.add(callers.submit(() -> {
                    cutOnce(cut);
                    return null;
                }));
            }
            for (Future<?> result : results) {
                result.get();
            }
        }
        // A request that was reported as not run may still be on its way to a server.
        sleep(SETTLE_MILLIS);
        responses.forEach(this::check);
        assertEquals(List.of(), faults.stream().limit(20).toList(), () -> faults.size() + " faults; " + outcomes());
    }

    /** Number of requests by form, method, ending and outcome. */
    private Map<String, AtomicInteger> outcomes() {
        return new TreeMap<>(outcomes);
    }

    private void cutOnce(CutResponse cut) throws IOException {
        for (int i = 0; i < MAX_TRIES; i++) {
            String id = id(nextId.getAndIncrement());
            cuts.put(id, cut);
            CallerResponse response = caller.call(cut, id);
            responses.put(id, response);
            if (cutIds.contains(id)) {
                String key = cut.form().name() + " " + cut.method() + " " + cut.ending() + ": " + response.outcome();
                outcomes.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
                return;
            }
            sleep(RETRY_MILLIS);
        }
        faults.add("never reached a server: " + cut);
    }

    private void check(String id, CallerResponse response) {
        CutResponse cut = cuts.get(id);
        boolean complete = cutIds.contains(id) && cut.isComplete(id);
        if (response.isWholeSuccess() && !isWholeResponse(cut, id, complete, response)) {
            faults.add("looks whole: " + cut + " " + response);
        }
        int runCount = runs.containsKey(id) ? runs.get(id).get() : 0;
        if (complete || runCount == 0) {
            return;
        }
        if (response.isPromiseOfNoRun()) {
            faults.add("was run: " + cut + " " + response);
        }
        if (cut.method().equals("POST") && runCount > 1) {
            faults.add("was run " + runCount + " times: " + cut + " " + response);
        }
    }

    private boolean isWholeResponse(CutResponse cut, String id, boolean complete, CallerResponse response) {
        boolean bodyIsWhole = complete && response.body().equals(cut.body(id))
                || wholeIds.contains(id) && response.body().equals(wholeForm.body());
        return bodyIsWhole && id.equals(response.headers().get("x-request-id"));
    }
}

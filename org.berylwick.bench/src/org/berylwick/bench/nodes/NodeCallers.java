package org.berylwick.bench.nodes;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/** Callers of all nodes, and what asks them for their versions and readiness, until the end; judged as they go. */
final class NodeCallers implements AutoCloseable {
    private static final int CALLERS_PER_NODE = 4;
    private static final int BULK_CALLERS_PER_NODE = 2;
    private static final int CALLER_MILLIS = 1_500;
    private static final int PATIENT_MILLIS = 7_000;
    private static final int CRASHING_REPEATS = 30;
    private static final long CRASHING_GAP_MILLIS = 150;
    /** More than the buffers of a connection take, so that an early answer comes while the body is written. */
    private static final int UPLOAD_BYTES = 6_000_000;

    private static final int UPLOADS = 6;
    private static final long UPLOAD_GAP_MILLIS = 100;
    private static final int JOIN_MILLIS = 10_000;

    private final NodeFleet fleet;
    private final NodeJudge judge;
    private final boolean planned;
    private final AtomicLong nextId = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;

    /**
     * Callers that begin with {@link #start()}.
     *
     * @param planned whether all work on the fleet is planned, so that no request may be lost; there is more load then
     */
    NodeCallers(NodeFleet fleet, NodeJudge judge, boolean planned) {
        this.fleet = fleet;
        this.judge = judge;
        this.planned = planned;
    }

    void start() {
        for (NodeFleet.Vm vm : fleet.vms()) {
            for (int i = 0; i < CALLERS_PER_NODE; i++) {
                threads.add(Thread.ofVirtual().start(() -> callOn(vm)));
            }
            for (int i = 0; planned && i < BULK_CALLERS_PER_NODE; i++) {
                threads.add(Thread.ofVirtual().start(() -> callForBulkOn(vm)));
            }
            threads.add(Thread.ofVirtual().start(() -> watchVersions(vm)));
            threads.add(Thread.ofVirtual().start(() -> askForReadiness(vm)));
        }
    }

    /** As the platform does, which moves callers away by the answers; these stay until the process is gone. */
    private void askForReadiness(NodeFleet.Vm vm) {
        try {
            while (!over) {
                isReady(vm);
                Thread.sleep(1_000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void callOn(NodeFleet.Vm vm) {
        try (PlainCaller caller = new PlainCaller(fleet.callers(vm))) {
            while (!over) {
                int draw = ThreadLocalRandom.current().nextInt(10);
                String path = (draw < 4 ? "/pay/" : draw < 9 ? "/read/" : "/bulk/") + draw;
                boolean answered = draw < 4
                        ? call(vm, caller, "POST", path, CALLER_MILLIS, "pay")
                        : call(vm, caller, "GET", path, CALLER_MILLIS, "");
                Thread.sleep(answered ? 20 : 150);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks for large answers one after the other, and waits longer than a process that is told to stop is there. */
    private void callForBulkOn(NodeFleet.Vm vm) {
        try (PlainCaller caller = new PlainCaller(fleet.callers(vm))) {
            while (!over) {
                boolean answered = call(vm, caller, "GET", "/bulk/x", PATIENT_MILLIS, "");
                Thread.sleep(answered ? 5 : 100);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean call(
            NodeFleet.Vm vm, PlainCaller caller, String method, String path, int deadlineMillis, String body) {
        String id = "q" + nextId.incrementAndGet();
        judge.onCall(method, id);
        switch (caller.call(method, path, id, deadlineMillis, body)) {
            case PlainCaller.Result.Answer answer -> {
                judge.onAnswer(method, path, id, body, answer);
                return true;
            }
            case PlainCaller.Result.Unreadable(String line) ->
                judge.find("MIXED: " + id + " got bytes that are no answer: " + line);
            case PlainCaller.Result.NotSent notSent -> judge.count("not_sent");
            case PlainCaller.Result.Broken broken -> {
                judge.count("broken");
                if (planned) {
                    vm.note("broken: " + id + " after " + broken.afterMillis() + " ms");
                    judge.onBrokenByPlannedWork(id, broken.afterMillis());
                }
            }
        }
        return false;
    }

    /** Within one life of a node, a version that was seen in force stays in force. */
    private void watchVersions(NodeFleet.Vm vm) {
        int life = 0;
        long seen = 0;
        try {
            while (!over) {
                if (vm.life() != life) {
                    life = vm.life();
                    seen = 0;
                }
                for (long number : new long[] {seen, fleet.version()}) {
                    int status = versionStatus(vm, number);
                    if (vm.life() != life || number == 0) {
                        continue;
                    }
                    if (status == 404 && number == seen) {
                        judge.find("CONFIG: node " + vm.number() + " went back behind version " + number);
                    } else if (status == 200) {
                        seen = Math.max(seen, number);
                    }
                }
                Thread.sleep(100);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    int versionStatus(NodeFleet.Vm vm, long number) {
        try (PlainCaller caller = new PlainCaller(fleet.callers(vm))) {
            String id = "v" + nextId.incrementAndGet();
            return caller.call("GET", "/v" + number + "/x", id, 1_000, "") instanceof PlainCaller.Result.Answer a
                    ? a.status()
                    : 0;
        }
    }

    boolean isReady(NodeFleet.Vm vm) {
        try (PlainCaller caller = new PlainCaller(fleet.readiness(vm))) {
            return caller.call("GET", "/ready", "ready", 500, "") instanceof PlainCaller.Result.Answer a
                    && a.status() == 200;
        }
    }

    /** Callers at all nodes repeat a request that ends the backend server that runs it. */
    void sendCrashing(String path) throws InterruptedException {
        for (int i = 0; i < CRASHING_REPEATS && !over; i++) {
            NodeFleet.Vm vm = fleet.vms()
                    .get(ThreadLocalRandom.current().nextInt(fleet.vms().size()));
            try (PlainCaller caller = new PlainCaller(fleet.callers(vm))) {
                call(vm, caller, "GET", path, CALLER_MILLIS, "");
            }
            Thread.sleep(CRASHING_GAP_MILLIS);
        }
    }

    /** A caller of a node sends large bodies, one after the other. */
    void sendUploads(NodeFleet.Vm vm) throws InterruptedException {
        String body = "u".repeat(UPLOAD_BYTES);
        for (int i = 0; i < UPLOADS && !over; i++) {
            try (PlainCaller caller = new PlainCaller(fleet.callers(vm))) {
                call(vm, caller, "POST", "/pay/upload", CALLER_MILLIS, body);
            }
            Thread.sleep(UPLOAD_GAP_MILLIS);
        }
    }

    @Override
    public void close() {
        over = true;
        try {
            for (Thread thread : threads) {
                thread.join(JOIN_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.testing.Await;
import org.berylwick.testing.RestartingServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that were running when backend servers ended, and did not cause it. */
@Timeout(60)
class CrashBystanderTest {
    private static final String CRASHING_READ = "/read/crash";
    private static final String SLOW_READ = "/read/slow";
    private static final int SLOTS = 4;
    private static final int CRASH_COUNT = 2;
    private static final int REQUEST_COUNT = 60;
    private static final int MAX_REFUSALS = 2;

    private final NodeRig rig = new NodeRig();
    private final List<RestartingServer> backends = new ArrayList<>();

    private void start(int nodeCount) {
        rig.configuration.publish(NodeRig.version(1));
        for (int node = 1; node <= nodeCount; node++) {
            rig.start(node, Optional.empty());
            backends.add(rig.startBackend(node, SLOTS));
        }
        for (int node = 1; node <= nodeCount; node++) {
            rig.awaitReady(node);
        }
    }

    @AfterEach
    void close() {
        backends.forEach(RestartingServer::close);
        rig.close();
    }

    private boolean isServed(int node, String path, String id) {
        return rig.call(node, "GET", path, id, "").startsWith("HTTP/1.1 200");
    }

    private void awaitServed(String path) {
        Await.until(path + " is served", () -> isServed(1, path, "w"), rig::logText);
    }

    /** Guards against a request that is refused for long because it ran beside the one that crashes, twice. */
    @Test
    void requestThatRanBesideTheCauseIsServedAgain() {
        start(1);
        RestartingServer backend = backends.get(0);
        for (int crash = 1; crash <= CRASH_COUNT; crash++) {
            awaitServed("/read/any");
            String id = "b" + crash;
            CompletableFuture<String> beside =
                    CompletableFuture.supplyAsync(() -> rig.call(1, "GET", SLOW_READ, id, ""));
            Await.until("it runs", backend::isRunningSlowRequest, rig::logText);
            rig.call(1, "GET", CRASHING_READ, "c" + crash, "");
            String response = beside.join();
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
        }
        awaitServed("/read/any");
        String refusal = rig.call(1, "GET", SLOW_READ, "r", "");
        assertTrue(refusal.startsWith("HTTP/1.1 503") && refusal.contains("Retry-After"), refusal);
        awaitServed(SLOW_READ);
        assertTrue(isServed(1, SLOW_READ, "s"));
    }

    /**
     * Guards against a refusal of what many callers send, after backend servers that ended together for another cause.
     */
    @Test
    void requestThatRanWhereverBackendServersEndedTogetherIsServed() {
        start(3);
        List<Thread> callers = new ArrayList<>();
        for (int node = 1; node <= 3; node++) {
            int entry = node;
            for (int i = 0; i < SLOTS; i++) {
                String id = "n" + node + "-" + i;
                callers.add(Thread.ofPlatform().start(() -> rig.call(entry, "GET", SLOW_READ, id, "")));
            }
        }
        Await.until(
                "it runs on all",
                () -> backends.stream().allMatch(RestartingServer::isRunningSlowRequest),
                rig::logText);
        backends.forEach(RestartingServer::crash);
        awaitServed("/read/any");
        assertTrue(isServed(1, SLOW_READ, "s"), rig.logText());
    }

    /** Guards against an owner that goes on offering a backend server whose process has ended. */
    @Test
    void endedBackendServerIsOfferedNoFurtherRequests() {
        start(3);
        for (int i = 0; i < REQUEST_COUNT; i++) {
            if (i == 1) {
                backends.get(0).crash();
            }
            assertTrue(isServed(1, "/read/any", "e" + i), rig.logText());
        }
        long refusals = rig.counter(1, NodeMetricNames.ENTRY_REFUSALS_BY_REASON + "UNREACHABLE");
        assertTrue(refusals <= MAX_REFUSALS, refusals + " of " + REQUEST_COUNT + " requests were offered to it");
    }
}

package org.berylwick.bench.nodes;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.berylwick.testing.Await;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestReporter;
import org.junit.jupiter.api.Timeout;

/**
 * What a node costs from its start through its first requests, as a process without the archive of classes that VMs
 * have.
 *
 * <p>Before, {@code berylwickd} took 9.3 s of processor time to open its ports, and 500 MB: at 0.3 of a core half a
 * minute in the dark after each kill. A node took 1.9 s with 500 requests and 104 MB when this test was written; the
 * bounds leave room for a slower machine.
 */
@Timeout(120)
class NodeCostTest {
    private static final int REQUESTS = 500;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final Duration MOST_PROCESSOR_TIME = Duration.ofMillis(9_300);
    private static final long MOST_RESIDENT_KB = 200_000;

    private static boolean isReady(NodeFleet fleet, NodeFleet.Vm vm) {
        try (PlainCaller caller = new PlainCaller(fleet.readiness(vm))) {
            return caller.call("GET", "/ready", "ready", 500, "") instanceof PlainCaller.Result.Answer a
                    && a.status() == 200;
        }
    }

    private static long residentKb(long process) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process + "/status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        throw new IOException("the system does not tell how much memory a process takes");
    }

    /**
     * A caller that comes back when it is told to. A node is ready once it has a version; where its backend server has
     * not reported yet it refuses within microseconds, and 500 requests in a row were refused before that server's
     * first heartbeat.
     */
    private static boolean isServed(PlainCaller caller, String id) {
        long giveUpAt = System.nanoTime() + DEADLINE_MILLIS * 1_000_000L;
        for (int i = 0; System.nanoTime() < giveUpAt; i++) {
            PlainCaller.Result result = caller.call("GET", "/v1/x", id + "-" + i, DEADLINE_MILLIS, "");
            if (!(result instanceof PlainCaller.Result.Answer a) || a.status() != 503) {
                return result instanceof PlainCaller.Result.Answer answer && answer.status() == 200;
            }
            double seconds = Double.parseDouble(a.headers().get("retry-after"));
            LockSupport.parkNanos((long) (seconds * 1e9));
        }
        return false;
    }

    @Test
    void startAndFirstRequestsAreCheap(TestReporter reporter) throws IOException {
        try (NodeFleet fleet = new NodeFleet(2, 77)) {
            NodeFleet.Vm vm = fleet.vms().get(0);
            Await.until("readiness", () -> isReady(fleet, vm), () -> "");
            int answered = 0;
            try (PlainCaller caller = new PlainCaller(fleet.callers(vm))) {
                for (int i = 0; i < REQUESTS; i++) {
                    answered += isServed(caller, "cost-" + i) ? 1 : 0;
                }
            }
            Process process = vm.process().process();
            Duration time = process.info().totalCpuDuration().orElseThrow();
            long resident = residentKb(process.pid());
            String seen = answered + " answered, " + time.toMillis() + " ms, " + resident + " KB";
            reporter.publishEntry("node_cost", seen);
            assertTrue(answered > REQUESTS * 9 / 10, seen);
            assertTrue(time.compareTo(MOST_PROCESSOR_TIME) < 0, seen);
            assertTrue(resident < MOST_RESIDENT_KB, seen);
        }
    }
}

package org.berylwick.bench.nodes;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.berylwick.bench.fleet.ChildProcess;
import org.berylwick.testing.Await;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Signals to a node that runs as a process. */
@Timeout(60)
class NodeSignalTest {
    private static final int NET = 210;
    private static final int HUP_BIT = 1;
    private static final int SIGNAL_GAP_MILLIS = 10;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    /** Guards against a reload that ends a node whose start it comes upon. */
    @Test
    void reloadDuringTheStartIsSurvived() throws IOException, InterruptedException {
        try (NodeFleet fleet = new NodeFleet(1, NET)) {
            ChildProcess node = fleet.vms().getFirst().process();
            Await.until("the process handles HUP or ignores it", () -> hasDisarmedHup(node.process()), node::output);
            while (!node.output().contains("\"STARTED\"") && node.process().isAlive()) {
                node.signal("HUP");
                Thread.sleep(SIGNAL_GAP_MILLIS);
            }
            assertTrue(
                    node.process().isAlive(),
                    () -> "exit status " + node.process().exitValue());
        }
    }

    private static boolean hasDisarmedHup(Process process) {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                    .filter(line -> line.startsWith("SigIgn:") || line.startsWith("SigCgt:"))
                    .anyMatch(line -> (Long.parseUnsignedLong(line.split("\t")[1], 16) & HUP_BIT) != 0);
        } catch (IOException e) {
            throw new IllegalStateException("the process has ended", e);
        }
    }

    /** Guards against a process that is still ending when its grace period is over. */
    @Test
    void stopWithAPendingRequestEndsWithinTheGracePeriod() throws IOException, InterruptedException {
        try (NodeFleet fleet = new NodeFleet(1, NET);
                Socket caller = new Socket()) {
            NodeFleet.Vm vm = fleet.vms().getFirst();
            ChildProcess node = vm.process();
            node.awaitLine(Pattern.compile("\"STARTED\""), START_TIMEOUT);
            caller.connect(fleet.callers(vm));
            String whole = "GET /read/x HTTP/1.1\r\nHost: " + NodeFleet.HOST + "\r\n\r\n";
            String incomplete = "POST /pay/x HTTP/1.1\r\nHost: " + NodeFleet.HOST + "\r\nContent-Length: 9\r\n\r\npa";
            caller.getOutputStream().write((whole + incomplete).getBytes(StandardCharsets.US_ASCII));
            // The response shows that the node has read the incomplete request, too, and waits for its end.
            assertTrue(caller.getInputStream().read() >= 0, node::output);
            node.process().toHandle().destroy();
            boolean ended = node.process().waitFor(NodeFleet.GRACE_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(ended, node::output);
        }
    }
}

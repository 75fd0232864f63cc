package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.ServerConnectionPool;
import org.junit.jupiter.api.Test;

/** Tests what an owner reports when the connection to its backend server breaks under a request. */
class OwnerExitTest {
    private final List<SuspectReport> reports = new ArrayList<>();
    private final List<Loss> losses = new ArrayList<>();
    private ServerConnectionPool.ProbeResult probeResult = ServerConnectionPool.ProbeResult.REFUSED;
    private long probeMillis;
    private final OwnerRig rig = new OwnerRig(() -> new BreakingServer());
    private final VirtualClock clock = rig.clock;
    private final Owner owner = rig.owner;

    /** A backend server that breaks each connection 20 ms after a request, and refuses or accepts new ones. */
    private final class BreakingServer extends InMemoryBackendServer {
        BreakingServer() {
            super(rig.clock);
        }

        @Override
        public void probe(Consumer<ProbeResult> onResult) {
            clock.after(probeMillis * OwnerRig.MILLIS, () -> onResult.accept(probeResult));
        }

        @Override
        public void send(HttpRequest request, RequestBody body, HttpResponseHandler handler) {
            clock.after(20 * OwnerRig.MILLIS, () -> handler.onFailure("closed before an answer"));
        }
    }

    private final class LossListener extends UnexpectedOutcome {
        @Override
        public void onLost(Loss loss) {
            losses.add(loss);
        }
    }

    private void sendRequest() {
        rig.quarantine.setReportListener(reports::add);
        owner.onReport(OwnerRig.report("i-1", 1, BackendState.READY, 2));
        owner.offer(rig.call("r", 0), new LossListener());
    }

    @Test
    void refusedConnectionTellsTheEndOfTheProcess() {
        sendRequest();
        clock.runUntil(30 * OwnerRig.MILLIS);
        assertTrue(losses.get(0).crash().isPresent());
        assertEquals(1, reports.size());
    }

    @Test
    void brokenConnectionOfARunningProcessIsNoCrash() {
        probeResult = ServerConnectionPool.ProbeResult.LISTENING;
        sendRequest();
        clock.runUntil(30 * OwnerRig.MILLIS);
        assertTrue(losses.get(0).crash().isEmpty());
        assertTrue(owner.acceptsRequestsFor("work"));
        assertEquals(List.of(), reports);
    }

    /** Guards against a crash that nobody hears of because the node was too busy to find out at once. */
    @Test
    void crashIsReportedEvenIfItIsFoundOutLate() {
        probeMillis = 300;
        sendRequest();
        clock.runUntil(100 * OwnerRig.MILLIS);
        assertEquals(1, losses.size(), "the entry can retry meanwhile");
        assertTrue(losses.get(0).crash().isEmpty());
        clock.runUntil(400 * OwnerRig.MILLIS);
        assertEquals(1, reports.size());
        assertEquals(1, losses.size());
    }
}

package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.quarantine.HoldLog;
import org.berylwick.node.quarantine.Quarantine;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.ServerConnectionPool;
import org.berylwick.node.transport.VmLink;
import org.junit.jupiter.api.Test;

/** Tests what an owner reports when the connection to its backend server breaks under a request. */
class OwnerExitTest {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final HeaderNames HEADER_NAMES = new HeaderNames(
            "id", "deadline", "signature", "target", "load", "not-run", "caller", "instance", "limit", "leaving");

    private final VirtualClock clock = new VirtualClock();
    private final EventLog log = new EventLog("test", OutputStream.nullOutputStream());
    private final Quarantine quarantine = new Quarantine(clock::now, new HoldLog(new Instruments(new Counters(), log)));
    private final List<SuspectReport> reports = new ArrayList<>();
    private final List<Loss> losses = new ArrayList<>();
    private ServerConnectionPool.ProbeResult probeResult = ServerConnectionPool.ProbeResult.REFUSED;
    private long probeMillis;
    private final Owner owner = new Owner(
            clock,
            address -> new BreakingServer(),
            HEADER_NAMES,
            VmLink.of(1_000, clock),
            1_500 * NANOS_PER_MILLISECOND,
            new Counters(),
            log,
            () -> {},
            quarantine,
            Map::of);

    /** A backend server that breaks each connection 20 ms after a request, and refuses or accepts new ones. */
    private final class BreakingServer extends InMemoryBackendServer {
        BreakingServer() {
            super(clock);
        }

        @Override
        public void probe(Consumer<ProbeResult> onResult) {
            clock.after(probeMillis * NANOS_PER_MILLISECOND, () -> onResult.accept(probeResult));
        }

        @Override
        public void send(HttpRequest request, RequestBody body, HttpResponseHandler handler) {
            clock.after(20 * NANOS_PER_MILLISECOND, () -> handler.onFailure("closed before an answer"));
        }
    }

    private final class LossListener implements AttemptListener {
        @Override
        public void onHead(int status, HttpHeaders headers, OwnerLoad load) {
            throw new AssertionError("there are no responses");
        }

        @Override
        public void onBody(ByteBuf part) {
            part.release();
        }

        @Override
        public void onEnd() {
            throw new AssertionError("there are no responses");
        }

        @Override
        public void onRefused(Refusal refusal) {
            throw new AssertionError(refusal);
        }

        @Override
        public void onLost(Loss loss) {
            losses.add(loss);
        }
    }

    private void sendRequest() {
        quarantine.setReportListener(reports::add);
        owner.onReport(new BackendReport(
                "i-1", "work", new InetSocketAddress("127.0.0.1", 1), "zone", 2, BackendState.READY, 1, 0));
        CallSpec call = new CallSpec(
                "r",
                HttpMethod.GET,
                "/x",
                Headers.empty().set(HEADER_NAMES.requestId(), "r"),
                RequestBody.of(Unpooled.EMPTY_BUFFER),
                "work",
                "caller",
                new RequestClass(RouteKind.IDEMPOTENT, 1, 600),
                600 * NANOS_PER_MILLISECOND,
                2_000 * NANOS_PER_MILLISECOND,
                0,
                1,
                0,
                0);
        owner.offer(call, new LossListener());
    }

    @Test
    void refusedConnectionTellsTheEndOfTheProcess() {
        sendRequest();
        clock.runUntil(30 * NANOS_PER_MILLISECOND);
        assertTrue(losses.get(0).crash().isPresent());
        assertEquals(1, reports.size());
    }

    @Test
    void brokenConnectionOfARunningProcessIsNoCrash() {
        probeResult = ServerConnectionPool.ProbeResult.LISTENING;
        sendRequest();
        clock.runUntil(30 * NANOS_PER_MILLISECOND);
        assertTrue(losses.get(0).crash().isEmpty());
        assertTrue(owner.acceptsRequestsFor("work"));
        assertEquals(List.of(), reports);
    }

    /** Guards against a crash that nobody hears of because the node was too busy to find out at once. */
    @Test
    void crashIsReportedEvenIfItIsFoundOutLate() {
        probeMillis = 300;
        sendRequest();
        clock.runUntil(100 * NANOS_PER_MILLISECOND);
        assertEquals(1, losses.size(), "the entry can retry meanwhile");
        assertTrue(losses.get(0).crash().isEmpty());
        clock.runUntil(400 * NANOS_PER_MILLISECOND);
        assertEquals(1, reports.size());
        assertEquals(1, losses.size());
    }
}

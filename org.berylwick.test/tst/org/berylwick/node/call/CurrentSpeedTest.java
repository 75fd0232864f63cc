package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;
import org.junit.jupiter.api.Test;

/** Tests what becomes of the figure with which a backend server states its current speed. */
class CurrentSpeedTest {
    private static final long USUAL_NANOS = 100 * OwnerRig.MILLIS;

    private final List<Refusal.Reason> refusals = new ArrayList<>();
    private final OwnerRig rig = new OwnerRig(() -> new StatingServer());
    private String loadHeader = "1,0,2";
    private long serviceNanos = USUAL_NANOS;

    /** A backend server that answers after the service time with the load header that the test has set. */
    private final class StatingServer extends InMemoryBackendServer {
        StatingServer() {
            super(rig.clock);
        }

        @Override
        public void send(HttpRequest request, RequestBody body, HttpResponseHandler handler) {
            rig.clock.after(serviceNanos, () -> {
                HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NOT_FOUND);
                head.headers().set(OwnerRig.HEADER_NAMES.load(), loadHeader);
                handler.onHead(head);
                handler.onEnd();
            });
        }
    }

    private final class Listener extends UnexpectedOutcome {
        @Override
        public void onHead(int status, HttpHeaders headers, OwnerLoad load) {
            // The response is not looked at.
        }

        @Override
        public void onEnd() {
            // The response is not looked at.
        }

        @Override
        public void onRefused(Refusal refusal) {
            refusals.add(refusal.reason());
        }
    }

    private void runRequests(int count) {
        for (int i = 0; i < count; i++) {
            rig.owner.offer(rig.call("r" + i, 0), new Listener());
            rig.clock.runUntil(rig.clock.now() + serviceNanos + OwnerRig.MILLIS);
        }
    }

    private void start() {
        rig.owner.onReport(OwnerRig.report("i-1", 1, BackendState.READY, 2));
    }

    /** Guards against slots that are not read beside the fourth figure, which a node needs after its start. */
    @Test
    void slotsAreReadWithAndWithoutAFourthFigure() {
        assertEquals(12, BackendLoadHeader.slots("1,0,12"));
        assertEquals(12, BackendLoadHeader.slots("1,0,12,140"));
        assertEquals(12, BackendLoadHeader.slots("1,0, 12 ,x"));
        for (String invalid : new String[] {null, "", "1,0", "1,0,x", "1,0,-3", "1,0,99999999999"}) {
            assertEquals(0, BackendLoadHeader.slots(invalid), invalid);
        }
    }

    /** Guards against estimates that follow a figure that can't be right. */
    @Test
    void figuresThatCannotBeRightAreIgnored() {
        assertEquals(OptionalDouble.of(1.4), BackendLoadHeader.slowdown("1,0,12,140"));
        assertEquals(OptionalDouble.of(0.8), BackendLoadHeader.slowdown("1,0,12, 80.0 "));
        String[] invalid = {
            null,
            "",
            "1,0,12",
            "1,0,12,",
            "1,0,12, ",
            "1,0,12,x",
            "1,0,12,-100",
            "1,0,12,0",
            "1,0,12,NaN",
            "1,0,12,Infinity",
            "1,0,12,1e99",
            "1,0,12,99999999",
            "1,0,12,1 40",
            ",,,",
            "\u0000"
        };
        for (String header : invalid) {
            assertEquals(OptionalDouble.empty(), BackendLoadHeader.slowdown(header), header);
        }
    }

    /**
     * Guards against a server that keeps its rank while it is slow, and against one that is ranked by an old figure.
     */
    @Test
    void figureCountsWhileItIsFresh() {
        CurrentSpeed speed = new CurrentSpeed();
        assertEquals(Slowdown.NONE, speed.slowdownAt(0));
        speed.onFigure(2, 0);
        assertEquals(2, speed.slowdownAt(0).factor(), 0.01);
        assertTrue(speed.slowdownAt(0).expectedNanos(USUAL_NANOS) > 1.7 * USUAL_NANOS);
        assertEquals(1, speed.slowdownAt(3 * OwnerRig.SECONDS).factor(), 0.01);
    }

    /** Guards against means that describe the slow moments in place of the usual speed. */
    @Test
    void serviceTimesAreTakenAtUsualSpeed() {
        start();
        loadHeader = "1,0,2,100";
        runRequests(30);
        loadHeader = "1,0,2,300";
        serviceNanos = 3 * USUAL_NANOS;
        runRequests(1);
        runRequests(2);
        loadHeader = "1,0,2,100";
        serviceNanos = USUAL_NANOS;
        runRequests(5);
        assertEquals(USUAL_NANOS, rig.owner.load().meanNanos(), 0.25 * USUAL_NANOS);
    }

    /** Guards against requests that are admitted by the mean to a server that can't meet their objective now. */
    @Test
    void ownerExpectsLongerServiceWhileTheFigureIsHigh() {
        start();
        loadHeader = "1,0,2,100";
        runRequests(20);
        assertEquals(100, rig.owner.load().slowdownPercent());
        loadHeader = "1,0,2,2000";
        runRequests(1);
        assertTrue(rig.owner.load().slowdownPercent() > 1_500);
        OwnerRun run = new OwnerRun(rig.owner, rig.call("r", 0), new Listener(), 0, false);
        Backend server = rig.owner.backend().orElseThrow();
        run.setServiceTime(server.serviceTimeEstimator().distribution(run.call()), server.speed());
        assertFalse(run.canMeetObjective(rig.clock.now()));
        rig.clock.runUntil(rig.clock.now() + 5 * OwnerRig.SECONDS);
        assertTrue(rig.owner.load().slowdownPercent() < 105);
    }

    /** Guards against any difference for backend servers that state no figure. */
    @Test
    void withoutAFigureNothingIsStatedOrScaled() {
        start();
        runRequests(5);
        assertEquals(0, rig.owner.load().slowdownPercent());
        assertEquals(
                "answered;;false", PeerCodec.encodeAnswered(rig.owner.load()).substring(0, 15));
        assertEquals(USUAL_NANOS, rig.owner.load().meanNanos(), USUAL_NANOS / 100.0);
    }

    /** Guards against a figure that is lost on the way to the node that selects servers. */
    @Test
    void figureTravelsWithAnswers() {
        OwnerLoad load = new OwnerLoad(1, 2, 3, 4_000_000).withSlowdown(240);
        HttpHeaders headers = Headers.empty().set(Headers.OUTCOME, PeerCodec.encodeAnswered(load));
        assertEquals(
                new PeerCodec.Outcome.Answered(load),
                PeerCodec.decodeOutcome(headers, 0).orElseThrow());
    }
}

package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.DepartureRecord;
import org.berylwick.node.lib.Incarnation;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;
import org.junit.jupiter.api.Test;

/** Tests backend servers that start again under the id that they had before, and state when they started. */
class OwnerRebornTest {
    private static final String ID = "i-1";
    /** Times of two starts, both before the time at which the test runs. */
    private static final long FIRST = 1_000_000;

    private static final long SECOND = 1_005_000;

    private final List<String> targets = new ArrayList<>();
    private final List<String> recorded = new ArrayList<>();
    private final DepartureRecord record = (incarnation, onRecorded) -> {
        recorded.add(incarnation);
        onRecorded.run();
    };
    private OwnerRig rig = new OwnerRig(() -> new RecordingServer());
    private Owner owner = rig.owner;

    private final class RecordingServer extends InMemoryBackendServer {
        RecordingServer() {
            super(rig.clock);
        }

        @Override
        public void send(HttpRequest request, RequestBody body, HttpResponseHandler handler) {
            targets.add(request.headers().get(OwnerRig.HEADER_NAMES.targetIncarnation()));
        }
    }

    /** The node is killed and started again; what it has recorded is still to be read. */
    private void restartNode() {
        rig = new OwnerRig(() -> new RecordingServer());
        owner = rig.owner;
        owner.setDepartureRecord(record);
    }

    private void readRecord() {
        owner.onDeparturesRead(recorded.stream().map(Incarnation::parse).toList());
    }

    private void report(long born, long sequence, BackendState state) {
        BackendReport report = new BackendReport(
                new Incarnation(ID, born),
                "work",
                new InetSocketAddress("127.0.0.1", 1),
                "zone",
                2,
                state,
                sequence,
                0,
                "");
        if (state == BackendState.DRAINING) {
            owner.onDraining(report, () -> {});
        } else {
            owner.onReport(report);
        }
    }

    private void healthAnswer() {
        owner.onHealthy(OwnerRig.report(ID, -1, BackendState.READY, 2));
    }

    private boolean runs(long born) {
        return owner.acceptsRequestsFor("work")
                && owner.backend()
                        .filter(b -> b.incarnation().equals(new Incarnation(ID, born)))
                        .isPresent();
    }

    /** Guards against heartbeats that count as stale because the sequence of the crashed start was higher. */
    @Test
    void laterStartAfterACrashIsUsedThoughItsSequenceStartsAnew() {
        report(FIRST, 900, BackendState.READY);
        report(SECOND, 0, BackendState.READY);
        assertTrue(runs(SECOND));
        assertEquals(0, owner.backend().orElseThrow().sequence());
    }

    /** Guards against a backend server that is refused for good because it left before under the same id. */
    @Test
    void laterStartAfterALeaveIsUsed() {
        report(FIRST, 8, BackendState.READY);
        report(FIRST, 9, BackendState.DRAINING);
        owner.onLeave(ID, () -> {});
        report(SECOND, 0, BackendState.READY);
        assertTrue(runs(SECOND));
    }

    /** Guards against late reports of the earlier start that replace the running one, or end it. */
    @Test
    void lateReportsOfTheEarlierStartChangeNothing() {
        report(FIRST, 8, BackendState.READY);
        report(SECOND, 0, BackendState.READY);
        report(FIRST, 9, BackendState.READY);
        assertTrue(runs(SECOND));
        report(FIRST, 10, BackendState.DRAINING);
        assertTrue(runs(SECOND));
    }

    /** Guards against a late report that replaces the running start after that one has been silent. */
    @Test
    void lateReportDoesNotReplaceALaterStartThatIsSilent() {
        report(FIRST, 8, BackendState.READY);
        report(SECOND, 0, BackendState.READY);
        rig.clock.runUntil(20 * OwnerRig.SECONDS);
        owner.tick();
        report(FIRST, 9, BackendState.READY);
        assertFalse(owner.acceptsRequestsFor("work"));
    }

    /** Guards against an earlier start that returns after it left because only its later start was looked at. */
    @Test
    void leaveCoversEarlierStarts() {
        report(SECOND, 3, BackendState.DRAINING);
        report(FIRST, 9, BackendState.READY);
        healthAnswer();
        assertFalse(owner.acceptsRequestsFor("work"));
    }

    /** Guards against a deregistration that ends a start that it was sent before, or none. */
    @Test
    void deregistrationEndsTheLatestStartThatWasReady() {
        report(FIRST, 8, BackendState.READY);
        owner.onLeave(ID, () -> {});
        assertFalse(owner.acceptsRequestsFor("work"));
        report(FIRST, 9, BackendState.READY);
        assertFalse(owner.acceptsRequestsFor("work"));
        report(SECOND, 0, BackendState.READY);
        assertTrue(runs(SECOND));
        owner.onLeave(ID, () -> {});
        report(SECOND, 1, BackendState.READY);
        assertFalse(owner.acceptsRequestsFor("work"));
    }

    /** Guards against a late health answer that revives a start that has left. */
    @Test
    void lateHealthAnswerOfTheEarlierStartRevivesNothing() {
        owner.onLeave(ID, () -> {});
        healthAnswer();
        assertFalse(owner.acceptsRequestsFor("work"));
    }

    /** Guards against requests that are broken off when the first heartbeat names the start that a probe found. */
    @Test
    void firstHeartbeatNamesTheStartThatAHealthAnswerFound() {
        healthAnswer();
        Backend found = owner.backend().orElseThrow();
        report(SECOND, 4, BackendState.READY);
        assertTrue(runs(SECOND));
        assertEquals(found, owner.backend().orElseThrow());
    }

    /** Guards against a restarted node that forgets which start left, or refuses the one that started since. */
    @Test
    void recordOfLeavesTellsStartsApartAcrossARestartOfTheNode() {
        owner.setDepartureRecord(record);
        readRecord();
        report(FIRST, 8, BackendState.READY);
        owner.onLeave(ID, () -> {});
        assertEquals(List.of(ID + "?born=" + FIRST), recorded);
        restartNode();
        report(FIRST, 9, BackendState.READY);
        readRecord();
        assertFalse(owner.acceptsRequestsFor("work"));
        report(SECOND, 0, BackendState.READY);
        assertTrue(runs(SECOND));
    }

    /** Guards against a late heartbeat that revives a start whose leave a restarted node heard of first. */
    @Test
    void deregistrationBeforeAnyReportCoversStartsBeforeIt() {
        owner.setDepartureRecord(record);
        owner.onLeave(ID, () -> {});
        readRecord();
        report(FIRST, 9, BackendState.READY);
        assertFalse(owner.acceptsRequestsFor("work"));
        assertEquals(List.of(ID, ID + "?born=" + FIRST), recorded);
        long afterLeave = System.currentTimeMillis() + 60_000;
        report(afterLeave, 0, BackendState.READY);
        assertTrue(runs(afterLeave));
    }

    /** Guards against evidence of one start that confirms another while the record can't be read. */
    @Test
    void otherNodesConfirmOnlyTheStartThatTheyHeardOf() {
        restartNode();
        healthAnswer();
        report(SECOND, 4, BackendState.READY);
        owner.onFormerState(new Incarnation(ID, FIRST), BackendState.READY);
        assertFalse(runs(SECOND));
        owner.onFormerState(new Incarnation(ID, SECOND), BackendState.READY);
        assertTrue(runs(SECOND));
    }

    /** Guards against a target header that the backend server does not know as its id. */
    @Test
    void targetHeaderIsTheIdAlone() {
        report(FIRST, 8, BackendState.READY);
        owner.offer(rig.call("r", 0), new UnexpectedOutcome() {});
        rig.clock.runUntil(OwnerRig.MILLIS);
        assertEquals(List.of(ID), targets);
    }
}

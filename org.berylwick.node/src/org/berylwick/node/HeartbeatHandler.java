package org.berylwick.node;

import java.util.Optional;
import java.util.function.Consumer;
import org.berylwick.node.call.Backend;
import org.berylwick.node.call.BackendEvidence;
import org.berylwick.node.call.Owner;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.member.HeartbeatProtocol;
import org.berylwick.node.transport.BufferedHttpServer;

/**
 * Answers the heartbeats and deregistrations of the backend server beside a node; confined to the event loop.
 *
 * <p>A leave is acknowledged only when its record outlasts this process. Otherwise a node that is killed after the
 * acknowledgement would send the backend server requests again.
 */
final class HeartbeatHandler implements BufferedHttpServer.Handler {
    /** The backend server waits a second for an acknowledgement. */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_NANOS = 900_000_000L;

    private static final long NO_SEQUENCE = -1;
    private static final int BAD_REQUEST = 400;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Clock clock;
    private final HeartbeatProtocol protocol;
    private final Owner owner;
    private final Instruments instruments;

    HeartbeatHandler(Clock clock, HeartbeatProtocol protocol, Owner owner, Instruments instruments) {
        this.clock = clock;
        this.protocol = protocol;
        this.owner = owner;
        this.instruments = instruments;
    }

    @Override
    public void handle(BufferedHttpServer.Request request, Consumer<BufferedHttpServer.Response> respond) {
        switch (protocol.decode(request.method(), request.uri(), request.body())) {
            case HeartbeatProtocol.DecodeResult.Report(BackendReport report)
            when report.state() == BackendState.DRAINING -> {
                Leave leave = new Leave(
                        report.incarnation().text(),
                        !owner.hasLeft(report.incarnation()),
                        BackendEvidence.HEARTBEAT,
                        report.sequence(),
                        respond);
                owner.onDraining(report, leave::acknowledge);
                leave.startTimeout();
            }
            case HeartbeatProtocol.DecodeResult.Report(BackendReport report) -> {
                owner.onReport(report);
                acknowledge(respond);
            }
            case HeartbeatProtocol.DecodeResult.Leave(String id) -> {
                Leave leave =
                        new Leave(id, !owner.hasLatestLeft(id), BackendEvidence.DEREGISTRATION, NO_SEQUENCE, respond);
                owner.onLeave(id, leave::acknowledge);
                leave.startTimeout();
            }
            case HeartbeatProtocol.DecodeResult.Malformed(String reason) -> {
                instruments.log().write(Event.BACKEND_REPORT_IGNORED, "incarnation", "", "why", reason);
                respond.accept(BufferedHttpServer.Response.ofStatus(BAD_REQUEST));
            }
        }
    }

    private void acknowledge(Consumer<BufferedHttpServer.Response> respond) {
        instruments.counters().increment(NodeMetricNames.HEARTBEATS_ACKNOWLEDGED);
        respond.accept(BufferedHttpServer.Response.of("application/json", protocol.acknowledgement()));
    }

    /** A call in which an incarnation says that it leaves. */
    private final class Leave {
        private final String incarnation;
        private final BackendEvidence evidence;
        private final long sequence;
        private final Consumer<BufferedHttpServer.Response> respond;
        private final long receivedAt = clock.now();
        private final boolean first;
        private boolean answered;
        private Clock.Timer timeout = () -> {};

        Leave(
                String incarnation,
                boolean first,
                BackendEvidence evidence,
                long sequence,
                Consumer<BufferedHttpServer.Response> respond) {
            this.incarnation = incarnation;
            this.evidence = evidence;
            this.sequence = sequence;
            this.respond = respond;
            this.first = first;
        }

        void startTimeout() {
            if (!answered) {
                timeout = clock.schedule(receivedAt + ACKNOWLEDGEMENT_TIMEOUT_NANOS, this::refuse);
            }
        }

        void acknowledge() {
            if (answered) {
                return;
            }
            answered = true;
            timeout.cancel();
            log(Event.BACKEND_LEAVE_ACKNOWLEDGED);
            HeartbeatHandler.this.acknowledge(respond);
        }

        private void refuse() {
            answered = true;
            log(Event.BACKEND_LEAVE_NOT_ACKNOWLEDGED);
            instruments.counters().increment(NodeMetricNames.LEAVES_NOT_ACKNOWLEDGED);
            respond.accept(BufferedHttpServer.Response.ofStatus(SERVICE_UNAVAILABLE));
        }

        private void log(Event event) {
            Optional<Backend> current = owner.backend();
            instruments
                    .log()
                    .write(
                            event,
                            "incarnation",
                            incarnation,
                            "by",
                            evidence,
                            "sequence",
                            sequence,
                            "first",
                            first,
                            "current",
                            current.map(server -> server.incarnation().text()).orElse(""),
                            "state",
                            current.map(Backend::state).orElse(BackendState.ABSENT),
                            "afterMs",
                            (clock.now() - receivedAt) / 1_000_000);
        }
    }
}

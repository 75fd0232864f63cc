package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.quarantine.CrashText;
import org.berylwick.node.transport.RequestBody;

/**
 * Encodes and decodes the two headers that the entry node, which received a request from the caller, and the owner
 * exchange: {@link Headers#CALL} describes the request, {@link Headers#OUTCOME} its outcome. Fields are separated by
 * semicolons. Points in time are sent as the remaining milliseconds, because clocks differ.
 */
final class PeerCodec {
    private static final int CALL_FIELDS = 11;
    private static final int OUTCOME_FIELDS = 10;
    /** Number of fields with the two that follow while the backend server states a limit on its requests. */
    private static final int LIMITED_OUTCOME_FIELDS = 12;

    /** Age of a crash that is forgotten long since; a larger one could overflow. */
    private static final long MAX_AGE_MILLIS = 1_000_000_000_000L;

    private static final String ANSWERED = "answered";
    private static final String REFUSED = "refused";
    private static final String LOST = "lost";

    private static final RouteKind[] ROUTE_KINDS = RouteKind.values();

    private PeerCodec() {}

    /** Outcome of an attempt, as reported by the owner. */
    sealed interface Outcome {
        /** The response of the backend server follows. */
        record Answered(OwnerLoad load) implements Outcome {}

        /** The request was not run. */
        record Refused(Refusal refusal) implements Outcome {}

        /** The request may have run, but there is no complete response. */
        record Lost(Loss loss) implements Outcome {}
    }

    static String encodeCall(CallSpec call, long now) {
        return call.service()
                + ';'
                + call.callerService()
                + ';'
                + call.kind().ordinal()
                + ';'
                + call.requestClass().priority()
                + ';'
                + call.requestClass().objectiveMillis()
                + ';'
                + toMillis(call.objectiveAt() - now)
                + ';'
                + toMillis(call.deadlineAt() - now)
                + ';'
                + toMillis(call.maxWaitNanos())
                + ';'
                + call.attemptNumber()
                + ';'
                + call.expectedResponseBytes()
                + ';'
                + call.id();
    }

    private static long toMillis(long nanos) {
        return nanos / 1_000_000;
    }

    static Optional<CallSpec> decodeCall(HttpRequest head, HttpHeaders headers, RequestBody body, long now) {
        String text = head.headers().get(Headers.CALL);
        if (text == null) {
            return Optional.empty();
        }
        // The request id is the last field, so that it may contain semicolons.
        String[] fields = text.split(";", CALL_FIELDS);
        if (fields.length != CALL_FIELDS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new CallSpec(
                    fields[10],
                    head.method(),
                    head.uri(),
                    headers,
                    body,
                    fields[0],
                    fields[1],
                    new RequestClass(
                            ROUTE_KINDS[Integer.parseInt(fields[2])],
                            Integer.parseInt(fields[3]),
                            Integer.parseInt(fields[4])),
                    now + Long.parseLong(fields[5]) * 1_000_000,
                    now + Long.parseLong(fields[6]) * 1_000_000,
                    Long.parseLong(fields[7]) * 1_000_000,
                    Integer.parseInt(fields[8]),
                    Integer.parseInt(head.headers().get(Headers.KNOWN_CRASHES, "0")),
                    Integer.parseInt(fields[9]),
                    decodeOrganisation(head.headers().get(Headers.ORGANISATION))));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }

    /** Encodes the organisation of a request; empty if it belongs to none. */
    static Optional<String> encodeOrganisation(OrganisationTag organisation) {
        return organisation.isPresent()
                ? Optional.of(organisation.priority() + ";" + organisation.name())
                : Optional.empty();
    }

    private static OrganisationTag decodeOrganisation(String text) {
        if (text == null) {
            return OrganisationTag.NONE;
        }
        int separator = text.indexOf(';');
        return new OrganisationTag(
                text.substring(separator + 1), Integer.parseInt(text.substring(0, Math.max(0, separator))));
    }

    /** The second field is empty, or the slowdown of the backend server, which earlier versions of nodes disregard. */
    static String encodeAnswered(OwnerLoad load) {
        return ANSWERED
                + ';'
                + (load.slowdownPercent() == 0 ? "" : load.slowdownPercent())
                + ";false"
                + encodeLoad(load);
    }

    private static int decodeSlowdown(String text) {
        return text.isEmpty() ? 0 : Math.max(0, Integer.parseInt(text));
    }

    static String encodeRefused(Refusal refusal) {
        return REFUSED + ';' + refusal.reason().name() + ';' + refusal.rejectedByBackend() + encodeLoad(refusal.load());
    }

    static String encodeLost(String cause) {
        return LOST + ';' + cause.replace(';', ',') + ";true" + encodeLoad(OwnerLoad.NONE);
    }

    private static String encodeLoad(OwnerLoad load) {
        return ";" + load.running() + ';' + load.queued() + ';' + load.slots() + ';' + load.meanNanos() / 1_000 + ';'
                + load.lostPerMille() + ';' + toMillis(load.incomingLinkBusyNanos()) + ';'
                + toMillis(load.outgoingLinkBusyNanos()) + encodeLimit(load);
    }

    private static String encodeLimit(OwnerLoad load) {
        return load.startIntervalNanos() == 0
                ? ""
                : ";" + toMillis(load.startIntervalNanos()) + ';' + toMillis(load.limitWaitNanos());
    }

    static String encodeCrash(SuspectReport.Crashed crash, long now) {
        return CrashText.encode(crash, toMillis(now - crash.at()));
    }

    private static Optional<SuspectReport.Crashed> decodeCrash(HttpHeaders headers, long now) {
        return Optional.ofNullable(headers.get(Headers.CRASH))
                .flatMap(text -> CrashText.decode(
                        text, ageMillis -> now - Math.max(0, Math.min(MAX_AGE_MILLIS, ageMillis)) * 1_000_000));
    }

    static Optional<Outcome> decodeOutcome(HttpHeaders headers, long now) {
        String text = headers.get(Headers.OUTCOME);
        if (text == null) {
            return Optional.empty();
        }
        String[] fields = text.split(";");
        if (fields.length != OUTCOME_FIELDS && fields.length != LIMITED_OUTCOME_FIELDS) {
            return Optional.empty();
        }
        boolean limited = fields.length == LIMITED_OUTCOME_FIELDS;
        try {
            OwnerLoad load = new OwnerLoad(
                    Integer.parseInt(fields[3]),
                    Integer.parseInt(fields[4]),
                    Integer.parseInt(fields[5]),
                    Long.parseLong(fields[6]) * 1_000,
                    Integer.parseInt(fields[7]),
                    Long.parseLong(fields[8]) * 1_000_000,
                    Long.parseLong(fields[9]) * 1_000_000,
                    limited ? Long.parseLong(fields[10]) * 1_000_000 : 0,
                    limited ? Long.parseLong(fields[11]) * 1_000_000 : 0);
            return switch (fields[0]) {
                case ANSWERED -> Optional.of(new Outcome.Answered(load.withSlowdown(decodeSlowdown(fields[1]))));
                case REFUSED ->
                    Optional.of(new Outcome.Refused(
                            new Refusal(Refusal.Reason.fromName(fields[1]), Boolean.parseBoolean(fields[2]), load)));
                case LOST -> Optional.of(new Outcome.Lost(new Loss(fields[1], decodeCrash(headers, now))));
                default -> Optional.empty();
            };
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}

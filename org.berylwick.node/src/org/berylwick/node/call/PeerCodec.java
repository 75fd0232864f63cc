package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.transport.RequestBody;

/**
 * What entry and owner tell each other in one header each: fields separated by semicolons, times in milliseconds that
 * are left, because clocks differ.
 */
final class PeerCodec {
    private static final int CALL_FIELDS = 11;
    private static final int OUTCOME_FIELDS = 10;
    private static final String ANSWERED = "answered";
    private static final String REFUSED = "refused";
    private static final String LOST = "lost";

    private static final RouteKind[] KINDS = RouteKind.values();

    private PeerCodec() {}

    /** What an owner said of an attempt. */
    sealed interface Outcome {
        /** The backend server's answer follows. */
        record Answered(OwnerLoad load) implements Outcome {}

        /** It was not run. */
        record Refused(Refusal refusal) implements Outcome {}

        /** It may have run. */
        record Lost(String cause) implements Outcome {}
    }

    static String callText(CallSpec call, long now) {
        return call.service()
                + ';'
                + call.callerService()
                + ';'
                + call.kind().ordinal()
                + ';'
                + call.priority()
                + ';'
                + call.requestClass().objectiveMillis()
                + ';'
                + millis(call.objectiveAt() - now)
                + ';'
                + millis(call.deadlineAt() - now)
                + ';'
                + millis(call.maxWaitNanos())
                + ';'
                + call.attemptNumber()
                + ';'
                + call.expectedResponseBytes()
                + ';'
                + call.id();
    }

    private static long millis(long nanos) {
        return nanos / 1_000_000;
    }

    static Optional<CallSpec> readCall(HttpRequest head, HttpHeaders headers, RequestBody body, long now) {
        String text = head.headers().get(Headers.CALL);
        if (text == null) {
            return Optional.empty();
        }
        String[] f = text.split(";", CALL_FIELDS);
        if (f.length != CALL_FIELDS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new CallSpec(
                    f[10],
                    head.method(),
                    head.uri(),
                    headers,
                    body,
                    f[0],
                    f[1],
                    new RequestClass(KINDS[Integer.parseInt(f[2])], Integer.parseInt(f[3]), Integer.parseInt(f[4])),
                    now + Long.parseLong(f[5]) * 1_000_000,
                    now + Long.parseLong(f[6]) * 1_000_000,
                    Long.parseLong(f[7]) * 1_000_000,
                    Integer.parseInt(f[8]),
                    Integer.parseInt(f[9])));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }

    static String answeredText(OwnerLoad load) {
        return ANSWERED + ";;false" + loadText(load);
    }

    static String refusedText(Refusal refusal) {
        return REFUSED + ';' + refusal.reason().name() + ';' + refusal.offered() + loadText(refusal.load());
    }

    static String lostText(String cause) {
        return LOST + ';' + cause.replace(';', ',') + ";true" + loadText(OwnerLoad.NONE);
    }

    private static String loadText(OwnerLoad load) {
        return ";" + load.running() + ';' + load.queued() + ';' + load.slots() + ';' + load.meanNanos() / 1_000 + ';'
                + load.lostPerMille() + ';' + millis(load.incomingNanos()) + ';' + millis(load.outgoingNanos());
    }

    static Optional<Outcome> readOutcome(HttpHeaders headers) {
        String text = headers.get(Headers.OUTCOME);
        if (text == null) {
            return Optional.empty();
        }
        String[] f = text.split(";");
        if (f.length != OUTCOME_FIELDS) {
            return Optional.empty();
        }
        try {
            OwnerLoad load = new OwnerLoad(
                    Integer.parseInt(f[3]),
                    Integer.parseInt(f[4]),
                    Integer.parseInt(f[5]),
                    Long.parseLong(f[6]) * 1_000,
                    Integer.parseInt(f[7]),
                    Long.parseLong(f[8]) * 1_000_000,
                    Long.parseLong(f[9]) * 1_000_000);
            return switch (f[0]) {
                case ANSWERED -> Optional.of(new Outcome.Answered(load));
                case REFUSED ->
                    Optional.of(new Outcome.Refused(
                            new Refusal(Refusal.Reason.fromName(f[1]), Boolean.parseBoolean(f[2]), load)));
                case LOST -> Optional.of(new Outcome.Lost(f[1]));
                default -> Optional.empty();
            };
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}

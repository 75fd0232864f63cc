package org.berylwick.node.call;

import java.util.HashMap;
import java.util.Map;
import org.berylwick.node.lib.RequestClass;

/**
 * Which part of the requests of each kind an owner could start of late; confined to the event loop.
 *
 * <p>Where room is short, requests with a near objective would always go before those with a far one, and the latter
 * would be starved: calls of one service pushed out the orders of another. A kind that was served less often is put
 * forward until the shares are alike.
 */
final class StartRateBalancer {
    /** Time in which what was counted loses its weight. */
    private static final double DECAY_NANOS = 3e9;
    /** How far a kind of which nothing was served is put before one of which all was. */
    private static final double MAX_ADVANCE_NANOS = 1.5e9;

    private final Map<RequestClass, Counts> byClass = new HashMap<>();

    private static final class Counts {
        private double offered;
        private double started;
        private long decayedAt;

        void decay(long now) {
            double decayFactor = Math.exp((decayedAt - now) / DECAY_NANOS);
            offered *= decayFactor;
            started *= decayFactor;
            decayedAt = now;
        }

        double startRate() {
            return (started + 1) / (offered + 1);
        }
    }

    /** Counts a request, and tells by how much it is put forward. */
    long onOffered(CallSpec call, long now) {
        Counts own = counts(call, now);
        own.offered++;
        double highestRate = 0;
        for (Counts other : byClass.values()) {
            other.decay(now);
            highestRate = Math.max(highestRate, Math.min(1, other.startRate()));
        }
        return (long) (MAX_ADVANCE_NANOS * Math.max(0, highestRate - own.startRate()));
    }

    void onStarted(CallSpec call, long now) {
        counts(call, now).started++;
    }

    private Counts counts(CallSpec call, long now) {
        Counts counts = byClass.computeIfAbsent(call.like(), k -> new Counts());
        counts.decay(now);
        return counts;
    }
}

package org.berylwick.node.call;

import java.util.HashMap;
import java.util.Map;
import org.berylwick.node.lib.RequestClass;

/**
 * Keeps the fraction of recent requests that an owner starts similar for all request classes. Confined to the event
 * loop.
 *
 * <p>When capacity is short, requests with a short latency objective would always start before those with a long one,
 * and starve them: calls of one service displaced the order requests of another. Requests of a class that was started
 * less often are moved forward in the queue until the fractions are equal.
 */
final class StartRateBalancer {
    /** Time constant of the exponential decay of the counts. */
    private static final double DECAY_NANOS = 3e9;
    /**
     * Time by which a class is moved forward if none of its requests were started, relative to a class of which all
     * were started.
     */
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

    /** Counts an offered request and returns by how many nanoseconds to move it forward in the queue. */
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
        Counts counts = byClass.computeIfAbsent(call.requestClass(), k -> new Counts());
        counts.decay(now);
        return counts;
    }
}

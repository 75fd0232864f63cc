package org.berylwick.standin.platform;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.berylwick.lib.TimeSource;

/**
 * Counts calls by kind and by the first segment of their key, and how many came in each second; any thread may use it.
 */
public final class CallCounter {
    private final TimeSource time;
    private final Map<CallKind, Tally> byKind = new EnumMap<>(CallKind.class);
    private final Map<String, Long> bySegment = new TreeMap<>();
    private final Tally all = new Tally();
    private long refused;

    /** A counter with nothing counted. */
    CallCounter(TimeSource time) {
        this.time = time;
        for (CallKind kind : CallKind.values()) {
            byKind.put(kind, new Tally());
        }
    }

    /**
     * Calls of one kind, or of all.
     *
     * @param total since the start or the last reset
     * @param lastSecond in the last whole second
     * @param peakSecond in the busiest whole second
     */
    public record Count(long total, long lastSecond, long peakSecond) {}

    /**
     * Everything counted.
     *
     * @param all calls of all kinds
     * @param byKind by lower-case name of the kind
     * @param bySegment totals by kind and first segment of the key, such as {@code read members}
     * @param refused calls over the rate limit, which are among the counted
     */
    public record Counts(Count all, Map<String, Count> byKind, Map<String, Long> bySegment, long refused) {}

    /** Counts one call. */
    synchronized void count(CallKind kind, String key) {
        long second = TimeUnit.NANOSECONDS.toSeconds(time.nanoTime());
        byKind.get(kind).add(second);
        all.add(second);
        int slash = key.indexOf('/');
        String segment = slash < 0 ? key : key.substring(0, slash);
        bySegment.merge(word(kind) + " " + segment, 1L, Long::sum);
    }

    /** Counts one call that was refused for its rate. */
    synchronized void countRefused() {
        refused++;
    }

    /** What was counted so far. */
    public synchronized Counts counts() {
        long second = TimeUnit.NANOSECONDS.toSeconds(time.nanoTime());
        Map<String, Count> kinds = new TreeMap<>();
        byKind.forEach((kind, tally) -> kinds.put(word(kind), tally.count(second)));
        return new Counts(all.count(second), kinds, Map.copyOf(bySegment), refused);
    }

    /** Starts again from nothing. */
    public synchronized void reset() {
        byKind.replaceAll((kind, tally) -> new Tally());
        bySegment.clear();
        all.clear();
        refused = 0;
    }

    private static String word(CallKind kind) {
        return kind.name().toLowerCase(java.util.Locale.ROOT);
    }

    private static final class Tally {
        private long total;
        private long second = Long.MIN_VALUE;
        private long inSecond;
        private long inSecondBefore;
        private long peak;

        void add(long now) {
            advance(now);
            total++;
            inSecond++;
        }

        private void advance(long now) {
            if (now == second) {
                return;
            }
            inSecondBefore = now == second + 1 ? inSecond : 0;
            peak = Math.max(peak, inSecond);
            second = now;
            inSecond = 0;
        }

        Count count(long now) {
            advance(now);
            return new Count(total, inSecondBefore, Math.max(peak, inSecond));
        }

        void clear() {
            total = 0;
            second = Long.MIN_VALUE;
            inSecond = 0;
            inSecondBefore = 0;
            peak = 0;
        }
    }
}

package org.berylwick.bench.limits;

import java.io.PrintStream;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TrafficClass;

/**
 * Offers one backend server more than it can do, and counts what each class gets.
 *
 * <p>Requests come at random, independent of the answers. Of the offered slot time confirmations are 10%, reads 50%,
 * lookups 30%, bulk transfers 10%. Hold times are exponential; a request that its deadline cuts held its slot in vain.
 */
public final class OverloadRun {
    /** Slots of the backend server. */
    public static final int SLOTS = 12;

    /** Places in its queue. */
    public static final int QUEUE = 48;

    private static final double OVERLOAD = 1.5;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final Duration HIGHEST_WAIT = Duration.ofHours(1);

    private final String name;
    private final EventLoop loop;
    private final Admitter admitter;
    private final Random random;
    private final Map<TrafficClass, Tally> tallies = new EnumMap<>(TrafficClass.class);
    private long usefulNanos;

    /** What a class offers: share of the offered slot time, mean hold, and the time its callers wait. */
    private record Offer(double share, Duration hold, Duration patience) {}

    private static final class Tally {
        private final Histogram waits = new Histogram(HIGHEST_WAIT.toNanos(), 3);
        private final Histogram told = new Histogram(HIGHEST_WAIT.toNanos(), 3);
        private long offered;
        private long inTime;
        private long cut;
        private long refused;
    }

    /** A run on {@code loop}. */
    public OverloadRun(String name, EventLoop loop, Admitter admitter, long seed) {
        this.name = name;
        this.loop = loop;
        this.admitter = admitter;
        this.random = new Random(seed);
        for (TrafficClass c : TrafficClass.values()) {
            tallies.put(c, new Tally());
        }
    }

    /** Runs for {@code span} of the loop's time. */
    public void run(Duration span) {
        for (TrafficClass c : TrafficClass.values()) {
            planNext(c);
        }
        loop.run(span);
    }

    /** Many bulk transfers at once, as when crews start before dawn. */
    public void bulkBurst(int transfers) {
        for (int i = 0; i < transfers; i++) {
            request(TrafficClass.BULK);
        }
    }

    /** Prints what each class got. */
    public void print(PrintStream out, Duration span) {
        tallies.forEach((c, t) -> {
            String key = name + "." + c.name().toLowerCase(Locale.ROOT);
            print(out, key + ".goodput_share", (double) t.inTime / t.offered);
            print(out, key + ".refused_share", (double) t.refused / t.offered);
            print(out, key + ".cut_by_deadline_share", (double) t.cut / t.offered);
            print(out, key + ".wait_p99_ms", t.waits.getValueAtPercentile(99) / NANOS_PER_MILLI);
            print(out, key + ".refused_after_p99_ms", t.told.getValueAtPercentile(99) / NANOS_PER_MILLI);
        });
        print(out, name + ".useful_slot_share", (double) usefulNanos / SLOTS / span.toNanos());
    }

    private static void print(PrintStream out, String key, double value) {
        out.printf(Locale.ROOT, "%s: %.3f%n", key, value);
    }

    private static Offer offer(TrafficClass c) {
        return switch (c) {
            case CONFIRMATION -> new Offer(0.10, Duration.ofMillis(100), Duration.ofSeconds(10));
            case READ -> new Offer(0.50, Duration.ofMillis(40), Duration.ofSeconds(2));
            case LOOKUP -> new Offer(0.30, Duration.ofMillis(10), Duration.ofMillis(500));
            case BULK -> new Offer(0.10, Duration.ofMinutes(2), Duration.ofMinutes(20));
        };
    }

    private void planNext(TrafficClass c) {
        Offer offer = offer(c);
        double perNano = OVERLOAD * SLOTS * offer.share / offer.hold.toNanos();
        loop.after((long) exponential(1 / perNano), () -> {
            request(c);
            planNext(c);
        });
    }

    private void request(TrafficClass c) {
        Offer offer = offer(c);
        Tally tally = tallies.get(c);
        tally.offered++;
        long arrived = loop.nanoTime();
        long hold = (long) exponential(offer.hold.toNanos());
        Deadline deadline = Deadline.after(loop, offer.patience);
        admitter.ask(c, deadline, answer -> answered(tally, answer, arrived, hold, deadline));
    }

    private void answered(Tally tally, Optional<Runnable> slot, long arrived, long hold, Deadline deadline) {
        long waited = loop.nanoTime() - arrived;
        if (slot.isEmpty()) {
            tally.refused++;
            tally.told.recordValue(waited);
            return;
        }
        tally.waits.recordValue(waited);
        long held = Math.min(hold, deadline.remainingNanos(loop));
        loop.after(held, () -> {
            if (held == hold) {
                tally.inTime++;
                usefulNanos += hold;
            } else {
                tally.cut++;
            }
            slot.get().run();
        });
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }
}

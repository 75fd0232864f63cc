package org.berylwick.bench.call;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.HdrHistogram.Histogram;
import org.berylwick.bench.Measurement;
import org.berylwick.bench.fleet.FleetPlan.Instance;

/** What callers feel of a daemon in its first seconds: once as entry, once as owner, beside a warm pair. */
public final class ColdMeasurement implements Measurement {
    private static final int RATE = 200;
    private static final Duration FIRST_SECONDS = Duration.ofSeconds(10);
    private static final Duration WARM_UP = Duration.ofSeconds(15);
    private static final int WARM_UP_RATE = 500;
    private static final double TAIL = 99;
    private static final double NANOS_PER_MILLI = 1e6;

    private record Figures(long readyNanos, long firstNanos, Histogram times, long errors) {}

    @Override
    public String name() {
        return "cold";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("what callers feel of a fresh daemon");
    }

    @Override
    public void run(Namespace options, PrintStream out) throws InterruptedException {
        try (CallFleet fleet = CallFleet.start(List.of(CallFleet.FRESH_ENTRY, CallFleet.FRESH_OWNER), 0)) {
            warmUp(fleet);
            Figures entry = measure(fleet, CallFleet.FRESH_ENTRY, CallFleet.FRESH_ENTRY, CallFleet.OWNER);
            Figures owner = measure(fleet, CallFleet.FRESH_OWNER, CallFleet.ENTRY, CallFleet.FRESH_OWNER);
            print("entry", entry, out);
            print("owner", owner, out);
            Histogram both = entry.times().copy();
            both.add(owner.times());
            line(out, "cold_ready_ms", Math.max(entry.readyNanos(), owner.readyNanos()));
            line(out, "cold_first_ms", Math.max(entry.firstNanos(), owner.firstNanos()));
            line(out, "cold_p99_ms", both.getValueAtPercentile(TAIL));
            line(out, "cold_max_ms", both.getMaxValue());
            out.println("errors: " + (entry.errors() + owner.errors()));
        }
    }

    /** Warms the load generator, the backend servers and the running pair, so that only the fresh daemon is cold. */
    private static void warmUp(CallFleet fleet) throws InterruptedException {
        try (LoadPath pair = fleet.through(CallFleet.ENTRY, CallFleet.OWNER);
                LoadPath first = fleet.direct(CallFleet.FRESH_ENTRY);
                LoadPath second = fleet.direct(CallFleet.FRESH_OWNER)) {
            new OpenLoopLoad(List.of(pair, first, second)).run(WARM_UP_RATE, WARM_UP);
        }
    }

    private static Figures measure(CallFleet fleet, Instance fresh, Instance entry, Instance owner)
            throws InterruptedException {
        long start = System.nanoTime();
        fleet.startFresh(fresh);
        long ready = System.nanoTime() - start;
        try (LoadPath path = fleet.through(entry, owner)) {
            OpenLoopLoad load = new OpenLoopLoad(List.of(path));
            load.run(RATE, Duration.ofSeconds(1).dividedBy(RATE));
            Histogram times = path.takeTimes().copy();
            long first = times.getMaxValue();
            load.run(RATE, FIRST_SECONDS);
            times.add(path.takeTimes());
            return new Figures(ready, first, times, path.takeErrors());
        }
    }

    private static void print(String role, Figures figures, PrintStream out) {
        line(out, "cold_" + role + "_ready_ms", figures.readyNanos());
        line(out, "cold_" + role + "_first_ms", figures.firstNanos());
        line(out, "cold_" + role + "_p99_ms", figures.times().getValueAtPercentile(TAIL));
        line(out, "cold_" + role + "_max_ms", figures.times().getMaxValue());
    }

    private static void line(PrintStream out, String key, long nanos) {
        out.printf("%s: %.1f%n", key, nanos / NANOS_PER_MILLI);
    }
}

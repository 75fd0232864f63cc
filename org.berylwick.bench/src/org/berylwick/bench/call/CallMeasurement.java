package org.berylwick.bench.call;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.HdrHistogram.Histogram;
import org.berylwick.bench.Measurement;
import org.berylwick.bench.fleet.ProcessUsage;

/** What two daemons on loopback add to a call: the same load straight at a backend server and through both. */
public final class CallMeasurement implements Measurement {
    private static final int ROUNDS = 5;
    private static final double MEDIAN = 50;
    private static final double TAIL = 99;
    private static final long BYTES_PER_MB = 1 << 20;
    private static final long LATE_NANOS = 100_000;

    private record Round(Histogram direct, Histogram through, Histogram lateness) {
        private long addedNanos() {
            return through.getValueAtPercentile(TAIL) - direct.getValueAtPercentile(TAIL);
        }
    }

    private record Usage(ProcessUsage entry, ProcessUsage owner) {
        private static Usage of(CallFleet fleet) {
            return new Usage(fleet.usage(CallFleet.ENTRY), fleet.usage(CallFleet.OWNER));
        }

        private void print(Usage before, long calls, PrintStream out) {
            line(out, "entry_cpu_us_per_call", entry.cpuSince(before.entry).toNanos() / calls);
            line(out, "owner_cpu_us_per_call", owner.cpuSince(before.owner).toNanos() / calls);
            out.println("entry_rss_mb: " + entry.residentBytes() / BYTES_PER_MB);
            out.println("owner_rss_mb: " + owner.residentBytes() / BYTES_PER_MB);
        }
    }

    @Override
    public String name() {
        return "call";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("what two daemons add to a call");
        parser.addArgument("--rate").type(Integer.class).setDefault(1_000).help("calls a second on each path");
        parser.addArgument("--seconds").type(Integer.class).setDefault(30).help("measured, in " + ROUNDS + " rounds");
        parser.addArgument("--warmup").type(Integer.class).setDefault(20).help("seconds of the same load before");
        parser.addArgument("--service-ms")
                .type(Integer.class)
                .setDefault(0)
                .help("how long the backend server takes for a call");
    }

    @Override
    public void run(Namespace options, PrintStream out) throws InterruptedException {
        int rate = options.getInt("rate");
        try (CallFleet fleet = CallFleet.start(List.of(), options.getInt("service_ms"));
                LoadPath direct = fleet.direct(CallFleet.OWNER);
                LoadPath through = fleet.through(CallFleet.ENTRY, CallFleet.OWNER)) {
            OpenLoopLoad load = new OpenLoopLoad(List.of(direct, through));
            load.run(rate, Duration.ofSeconds(options.getInt("warmup")));
            direct.takeTimes();
            through.takeTimes();
            long errors = direct.takeErrors() + through.takeErrors();
            out.println("warmup_errors: " + errors);
            Round[] rounds = new Round[ROUNDS];
            Usage before = Usage.of(fleet);
            long start = System.nanoTime();
            for (int i = 0; i < ROUNDS; i++) {
                Histogram lateness = load.run(
                        rate, Duration.ofSeconds(options.getInt("seconds")).dividedBy(ROUNDS));
                rounds[i] = new Round(direct.takeTimes(), through.takeTimes(), lateness);
            }
            long nanos = System.nanoTime() - start;
            Usage after = Usage.of(fleet);
            print(rounds, nanos, direct.takeErrors() + through.takeErrors(), out);
            after.print(before, (long) rate * options.getInt("seconds"), out);
        }
    }

    private static void print(Round[] rounds, long nanos, long errors, PrintStream out) {
        Histogram direct = new Histogram(LoadPath.HIGHEST_NANOS, LoadPath.DIGITS);
        Histogram through = new Histogram(LoadPath.HIGHEST_NANOS, LoadPath.DIGITS);
        Histogram lateness = new Histogram(LoadPath.HIGHEST_NANOS, LoadPath.DIGITS);
        for (Round r : rounds) {
            direct.add(r.direct());
            through.add(r.through());
            lateness.add(r.lateness());
        }
        long[] added = LongStream.range(0, rounds.length)
                .map(i -> rounds[(int) i].addedNanos())
                .sorted()
                .toArray();
        line(out, "direct_p50_us", direct.getValueAtPercentile(MEDIAN));
        line(out, "direct_p99_us", direct.getValueAtPercentile(TAIL));
        line(out, "through_p50_us", through.getValueAtPercentile(MEDIAN));
        line(out, "through_p99_us", through.getValueAtPercentile(TAIL));
        line(out, "added_p99_us", through.getValueAtPercentile(TAIL) - direct.getValueAtPercentile(TAIL));
        line(out, "added_p99_us_lowest_round", added[0]);
        line(out, "added_p99_us_median_round", added[added.length / 2]);
        line(out, "added_p99_us_highest_round", added[added.length - 1]);
        out.println("calls_per_s: " + Math.round(through.getTotalCount() / (nanos / 1e9)));
        out.println("errors: " + errors);
        line(out, "sent_late_p99_us", lateness.getValueAtPercentile(TAIL));
        line(out, "sent_late_max_us", lateness.getMaxValue());
        boolean behind = lateness.getValueAtPercentile(TAIL) > LATE_NANOS;
        out.println("load_generator: " + (behind ? "FELL BEHIND its schedule; do not use this run" : "kept up"));
    }

    private static void line(PrintStream out, String key, long nanos) {
        out.println(key + ": " + nanos / 1_000);
    }
}

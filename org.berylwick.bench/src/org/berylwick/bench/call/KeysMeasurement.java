package org.berylwick.bench.call;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.HdrHistogram.Histogram;
import org.berylwick.bench.Measurement;
import org.berylwick.bench.call.KeysFleet.StoreCalls;

/** What an idempotency key costs: time added to a confirmation, calls of the store, and the rate that they allow. */
public final class KeysMeasurement implements Measurement {
    private static final int WARM_UP_RATE = 200;
    private static final double MEDIAN = 50;
    private static final double TAIL = 99;
    /** Steps of the search for the rate, in percent of what two writes a request would allow. */
    private static final int FIRST_PERCENT = 80;

    private static final int STEP_PERCENT = 10;
    private static final int WRITES_EXPECTED = 2;
    private static final int PERCENT = 100;
    private static final int REPEATS_PER_KEY = 10;
    private static final Duration SETTLING = Duration.ofSeconds(2);

    private final AtomicLong nextKey = new AtomicLong();

    @Override
    public String name() {
        return "keys";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("what an idempotency key costs");
        parser.addArgument("--rate").type(Integer.class).setDefault(50).help("calls a second on each path");
        parser.addArgument("--seconds").type(Integer.class).setDefault(20).help("measured for each latency");
        parser.addArgument("--warmup").type(Integer.class).setDefault(10).help("seconds of load before");
        parser.addArgument("--store-ms").type(Integer.class).setDefault(3).help("time that a call of the store takes");
        parser.addArgument("--store-reads")
                .type(Integer.class)
                .setDefault(2_000)
                .help("a second, for the rate");
        parser.addArgument("--store-writes").type(Integer.class).setDefault(400).help("a second, for the rate");
        parser.addArgument("--step-seconds").type(Integer.class).setDefault(20).help("load for each rate tried");
    }

    @Override
    public void run(Namespace options, PrintStream out) throws InterruptedException {
        try (KeysFleet fleet = new KeysFleet()) {
            measureTime(fleet, 0, options, out);
            measureTime(fleet, options.getInt("store_ms"), options, out);
            measureRepeats(fleet, options, out);
            measureRate(fleet, options, out);
        }
    }

    private Supplier<String> freshKeys() {
        return () -> "key-" + nextKey.incrementAndGet();
    }

    private void measureTime(KeysFleet fleet, int storeMillis, Namespace options, PrintStream out)
            throws InterruptedException {
        fleet.setStoreMillis(storeMillis);
        try (LoadPath unkeyed = fleet.path(() -> "");
                LoadPath keyed = fleet.path(freshKeys())) {
            OpenLoopLoad load = new OpenLoopLoad(List.of(unkeyed, keyed));
            load.run(WARM_UP_RATE, Duration.ofSeconds(options.getInt("warmup")));
            Thread.sleep(SETTLING);
            unkeyed.takeTimes();
            keyed.takeTimes();
            long before = unkeyed.takeErrors() + keyed.takeErrors();
            StoreCalls start = fleet.storeCalls();
            load.run(options.getInt("rate"), Duration.ofSeconds(options.getInt("seconds")));
            Thread.sleep(SETTLING);
            StoreCalls calls = fleet.storeCalls().minus(start);
            Histogram plain = unkeyed.takeTimes();
            Histogram withKey = keyed.takeTimes();
            String suffix = "_store_" + storeMillis + "ms";
            line(out, "unkeyed_p50_us" + suffix, plain.getValueAtPercentile(MEDIAN));
            line(out, "unkeyed_p99_us" + suffix, plain.getValueAtPercentile(TAIL));
            line(out, "keyed_p50_us" + suffix, withKey.getValueAtPercentile(MEDIAN));
            line(out, "keyed_p99_us" + suffix, withKey.getValueAtPercentile(TAIL));
            line(out, "added_p50_us" + suffix, added(withKey, plain, MEDIAN));
            line(out, "added_p99_us" + suffix, added(withKey, plain, TAIL));
            perRequest(out, "first", suffix, calls, withKey.getTotalCount());
            out.println("warmup_errors" + suffix + ": " + before);
            out.println("errors" + suffix + ": " + (unkeyed.takeErrors() + keyed.takeErrors()));
        }
    }

    private static long added(Histogram keyed, Histogram plain, double percentile) {
        return keyed.getValueAtPercentile(percentile) - plain.getValueAtPercentile(percentile);
    }

    private static void perRequest(PrintStream out, String kind, String suffix, StoreCalls calls, long requests) {
        out.printf("store_reads_per_%s%s: %.2f%n", kind, suffix, (double) calls.reads() / requests);
        out.printf("store_writes_per_%s%s: %.2f%n", kind, suffix, (double) calls.writes() / requests);
    }

    private void measureRepeats(KeysFleet fleet, Namespace options, PrintStream out) throws InterruptedException {
        long base = nextKey.addAndGet(1);
        int keys = options.getInt("rate");
        AtomicLong sent = new AtomicLong();
        try (LoadPath path = fleet.path(() -> "repeat-" + base + "-" + sent.getAndIncrement() % keys)) {
            OpenLoopLoad load = new OpenLoopLoad(List.of(path));
            load.run(options.getInt("rate"), Duration.ofSeconds(1));
            Thread.sleep(SETTLING);
            path.takeTimes();
            long firstErrors = path.takeErrors();
            StoreCalls start = fleet.storeCalls();
            load.run(options.getInt("rate"), Duration.ofSeconds(REPEATS_PER_KEY));
            StoreCalls calls = fleet.storeCalls().minus(start);
            Histogram times = path.takeTimes();
            line(out, "repeat_p50_us", times.getValueAtPercentile(MEDIAN));
            line(out, "repeat_p99_us", times.getValueAtPercentile(TAIL));
            perRequest(out, "repeat", "", calls, times.getTotalCount());
            out.println("repeat_errors: " + (firstErrors + path.takeErrors()));
        }
    }

    /**
     * Raises the rate of first requests until the store refuses calls; the store's bucket of one second's calls is what
     * lets a short load above the limit through, so each step is long.
     */
    private void measureRate(KeysFleet fleet, Namespace options, PrintStream out) throws InterruptedException {
        int writes = options.getInt("store_writes");
        fleet.setStoreRates(options.getInt("store_reads"), writes);
        int reached = 0;
        Duration step = Duration.ofSeconds(options.getInt("step_seconds"));
        try (LoadPath path = fleet.path(freshKeys())) {
            OpenLoopLoad load = new OpenLoopLoad(List.of(path));
            for (int percent = FIRST_PERCENT; ; percent += STEP_PERCENT) {
                int rate = writes / WRITES_EXPECTED * percent / PERCENT;
                long before = fleet.storeRefusals();
                load.run(rate, step);
                Thread.sleep(SETTLING);
                long refused = fleet.storeRefusals() - before;
                long errors = path.takeErrors();
                long calls = path.takeTimes().getTotalCount();
                out.println("calls_" + rate + "_per_s: " + calls);
                out.println("store_refusals_" + rate + "_per_s: " + refused);
                out.println("refused_to_callers_" + rate + "_per_s: " + errors);
                if (refused > 0 || errors > 0) {
                    break;
                }
                reached = rate;
            }
        }
        out.println("keyed_per_s_within_limit: " + reached);
        fleet.setStoreRates(0, 0);
    }

    private static void line(PrintStream out, String key, long nanos) {
        out.println(key + ": " + nanos / 1_000);
    }
}

package org.berylwick.bench.control;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.berylwick.bench.Measurement;
import org.berylwick.bench.control.ControlFleet.AcceptedAt;
import org.berylwick.bench.control.ControlFleet.Counters;
import org.berylwick.bench.fleet.FleetPlan;

/**
 * Measures how soon accepted versions are in force everywhere and what control costs meanwhile.
 *
 * <p>Processor time leaves out the just-in-time compiler, which is busy for minutes after a start and then idle.
 *
 * <p>No calls run, so whatever a daemon spends is control, its own upkeep and the answers to this measurement. Bytes
 * are those of the sockets without TCP and IP headers, each counted once over the fleet. Heap is all that lives in a
 * daemon after a full collection: an upper bound of what control adds.
 */
public final class Convergence implements Measurement {
    private static final long AFTER_CHANGE_MILLIS = 4_000;
    private static final int HUNDRED = 100;

    @Override
    public String name() {
        return "convergence";
    }

    @Override
    public void declare(Subparser parser) {
        parser.addArgument("--daemons").type(Integer.class).setDefault(12);
        parser.addArgument("--mode").choices("watch", "spread").setDefault("spread");
        parser.addArgument("--settings").setDefault("").help("further lines of [spread], separated by semicolons");
        parser.addArgument("--rounds").type(Integer.class).setDefault(5).help("times each kind of change is applied");
        parser.addArgument("--idle-seconds").type(Integer.class).setDefault(20);
        parser.addArgument("--churn")
                .action(Arguments.storeTrue())
                .help("also replace a daemon every three seconds for a while");
    }

    @Override
    public void run(Namespace options, PrintStream out) throws Exception {
        int daemons = options.getInt("daemons");
        String settings = "mode = \"" + options.getString("mode") + "\"\n"
                + options.getString("settings").replace(";", "\n");
        try (ControlFleet fleet = new ControlFleet(daemons, settings)) {
            fleet.start();
            // Fresh processes compile their code for a while, which is not what control costs.
            TimeUnit.SECONDS.sleep(options.getInt("idle_seconds"));
            Rates idle = idle(fleet, options.getInt("idle_seconds"));
            changes(fleet, options.getInt("rounds"), idle, out);
            print(out, "control_bytes_per_daemon_per_s_idle", idle.bytes() / daemons);
            print(out, "store_calls_per_s_idle", idle.calls());
            print(out, "control_cpu_percent", idle.cpuPercent());
            if (options.getBoolean("churn")) {
                churn(fleet, out);
            }
            List<String> names = fleet.names();
            double heap = Math.max(fleet.liveHeapMegabytes(names.getFirst()), fleet.liveHeapMegabytes(names.getLast()));
            print(out, "control_heap_mb", heap);
        }
    }

    /** What the fleet spends a second, processor time for each daemon. */
    private record Rates(double bytes, double calls, double cpuPercent) {}

    private static Rates idle(ControlFleet fleet, int seconds) throws InterruptedException {
        Counters before = fleet.counters(fleet.names());
        long from = System.nanoTime();
        TimeUnit.SECONDS.sleep(seconds);
        Counters spent = fleet.counters(fleet.names()).minus(before);
        double passed = (System.nanoTime() - from) / 1e9;
        return new Rates(
                spent.bytes() / passed,
                spent.calls() / passed,
                ControlFleet.cpuPercent(spent, fleet.names().size(), passed));
    }

    private static void changes(ControlFleet fleet, int rounds, Rates idle, PrintStream out)
            throws InterruptedException {
        int daemons = fleet.names().size();
        List<Long> all = new ArrayList<>();
        double bytes = 0;
        double calls = 0;
        for (Kind kind : Kind.values()) {
            List<Long> millis = new ArrayList<>();
            Counters before = fleet.counters(fleet.names());
            long from = System.nanoTime();
            for (int i = 0; i < rounds; i++) {
                AcceptedAt accepted = fleet.apply(kind.declarations("mark-" + kind + "-" + i));
                millis.addAll(fleet.awaitInstalled(accepted, fleet.names()));
                TimeUnit.MILLISECONDS.sleep(AFTER_CHANGE_MILLIS);
            }
            Counters spent = fleet.counters(fleet.names()).minus(before);
            double passed = (System.nanoTime() - from) / 1e9;
            double kindBytes = (spent.bytes() - idle.bytes() * passed) / daemons / rounds;
            double kindCalls = (spent.calls() - idle.calls() * passed) / rounds;
            String word = kind.name().toLowerCase(Locale.ROOT);
            print(out, "converge_p50_ms_" + word, percentile(millis, 50));
            print(out, "converge_max_ms_" + word, percentile(millis, 100));
            print(out, "control_bytes_per_daemon_per_change_" + word, kindBytes);
            print(out, "store_calls_per_change_" + word, kindCalls);
            print(out, "cpu_percent_" + word, ControlFleet.cpuPercent(spent, daemons, passed));
            bytes += kindBytes / Kind.values().length;
            calls += kindCalls / Kind.values().length;
            all.addAll(millis);
        }
        print(out, "converge_p50_ms", percentile(all, 50));
        print(out, "converge_p99_ms", percentile(all, 99));
        print(out, "converge_max_ms", percentile(all, 100));
        print(out, "control_bytes_per_daemon_per_change", bytes);
        print(out, "store_calls_per_change", calls);
    }

    private enum Kind {
        ONE_BRAND,
        HUNDRED_BRANDS,
        EVERYTHING;

        private String declarations(String mark) {
            return switch (this) {
                case ONE_BRAND -> BenchDeclarations.brands(1, mark);
                case HUNDRED_BRANDS -> BenchDeclarations.brands(HUNDRED, mark);
                case EVERYTHING -> BenchDeclarations.everything(mark);
            };
        }
    }

    /** Kills and replaces a daemon every few seconds; the others' spending is what churn costs. */
    private static void churn(ControlFleet fleet, PrintStream out) throws InterruptedException {
        List<FleetPlan.Instance> replaced =
                fleet.instances().subList(0, Math.max(1, fleet.instances().size() / 3));
        List<String> others = new ArrayList<>(fleet.names());
        replaced.forEach(i -> others.remove(i.name()));
        Counters before = fleet.counters(others);
        long from = System.nanoTime();
        for (FleetPlan.Instance i : replaced) {
            fleet.fleet().daemons().get(i.name()).process().destroyForcibly();
            fleet.startDaemon(i);
            fleet.awaitDaemon(i);
            TimeUnit.SECONDS.sleep(3);
        }
        Counters spent = fleet.counters(others).minus(before);
        double passed = (System.nanoTime() - from) / 1e9;
        print(out, "churn_replacements_per_s", replaced.size() / passed);
        print(out, "control_bytes_per_daemon_per_s_churn", spent.bytes() / passed / others.size());
        print(out, "store_calls_per_s_churn", spent.calls() / passed);
        print(out, "control_cpu_percent_churn", ControlFleet.cpuPercent(spent, others.size(), passed));
    }

    private static double percentile(List<Long> values, int percent) {
        List<Long> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        int index = (int) Math.ceil(percent / 100.0 * sorted.size()) - 1;
        return sorted.get(Math.max(0, index));
    }

    private static void print(PrintStream out, String key, double value) {
        out.println(key + ": " + String.format(Locale.ROOT, "%.2f", value));
    }
}

package org.berylwick.bench.quotas;

import java.io.PrintStream;
import java.util.Locale;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.berylwick.bench.Measurement;

/** Measures limits over all nodes by permits and by even shares; the same seed gives the same figures. */
public final class QuotasMeasurement implements Measurement {
    private static final int[] FLEETS = {12, 80, 300};
    private static final double[] RATES = {4, 400};
    private static final double[] LOADS = {0.9, 2};

    @Override
    public String name() {
        return "quotas";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("limits of organisations over all nodes, in a loop without sockets");
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--burst")
                .type(Double.class)
                .setDefault(1.0)
                .help("burst of the organisation in seconds of its rate");
    }

    @Override
    public void run(Namespace options, PrintStream out) {
        long seed = options.getLong("seed");
        double burst = options.getDouble("burst");
        for (int nodes : FLEETS) {
            for (double rate : RATES) {
                for (double load : LOADS) {
                    compare(nodes, rate, burst, load, seed, out);
                }
            }
        }
    }

    private static void compare(int nodes, double rate, double burst, double load, long seed, PrintStream out) {
        for (QuotaRun.Demand demand : QuotaRun.Demand.values()) {
            for (QuotaRun.Fault fault : QuotaRun.Fault.values()) {
                QuotaRun.Scenario scenario = new QuotaRun.Scenario(nodes, rate, burst, load, demand, fault);
                for (QuotaRun.Way way : QuotaRun.Way.values()) {
                    QuotaRun.Figures figures = new QuotaRun(way, scenario, seed).run();
                    out.printf(
                            Locale.ROOT,
                            "quotas.%d.%.0f.%.1f.%s.%s.%s: served %.3f, refused %.4f, excess %.3f, margin %.0f, "
                                    + "messages/s %.0f%n",
                            nodes,
                            rate,
                            load,
                            demand.name().toLowerCase(Locale.ROOT),
                            fault.name().toLowerCase(Locale.ROOT),
                            way.name().toLowerCase(Locale.ROOT),
                            figures.served(),
                            figures.refused(),
                            figures.excess(),
                            figures.margin(),
                            figures.messagesPerSecond());
                }
            }
        }
    }
}

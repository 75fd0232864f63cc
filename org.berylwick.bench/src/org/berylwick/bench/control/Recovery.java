package org.berylwick.bench.control;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.berylwick.bench.Measurement;
import org.berylwick.bench.control.ControlFleet.AcceptedAt;
import org.berylwick.bench.fleet.FleetPlan;

/**
 * Measures how a fleet comes back from a fault: time until every daemon holds the newest version and knows all others,
 * the busiest second at the platform's store, and the requests that failed meanwhile.
 *
 * <p>A request goes to any daemon that listens, as a caller's would, and fails if its final answer is not a success.
 */
public final class Recovery implements Measurement {
    private static final long OUTAGE_MILLIS = 60_000;
    private static final long SLOW_MIN_MILLIS = 500;
    private static final long SLOW_MAX_MILLIS = 1_500;
    private static final long SETTLE_MILLIS = 5_000;

    private enum Fault {
        /** Half of all daemons are killed at one moment and replaced. */
        KILL_HALF,
        /** All daemons are killed at one moment and replaced. */
        KILL_ALL,
        /** All daemons of one availability zone are killed and replaced. */
        KILL_ZONE,
        /** The store is out for a minute; versions are accepted just before and just after. */
        STORE_OUT,
        /** Each call to the store takes a second for a minute, while a version is accepted. */
        STORE_SLOW,
        /** The store is slow while half of all daemons are killed and replaced. */
        STORE_SLOW_KILL_HALF;

        private String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    @Override
    public String name() {
        return "recovery";
    }

    @Override
    public void declare(Subparser parser) {
        parser.addArgument("--daemons").type(Integer.class).setDefault(12);
        parser.addArgument("--mode").choices("watch", "spread").setDefault("spread");
        parser.addArgument("--fault")
                .required(true)
                .choices(
                        java.util.Arrays.stream(Fault.values()).map(Fault::word).toList());
    }

    @Override
    public void run(Namespace options, PrintStream out) throws Exception {
        // The host header is this client's to choose: a brand is known by it.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        Fault fault = Fault.valueOf(
                options.getString("fault").toUpperCase(Locale.ROOT).replace('-', '_'));
        String settings = "mode = \"" + options.getString("mode") + "\"\n";
        try (ControlFleet fleet = new ControlFleet(options.getInt("daemons"), settings)) {
            fleet.start();
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            fleet.control("counts?reset=true");
            try (Callers callers = new Callers(fleet)) {
                long from = System.nanoTime();
                bringAbout(fault, fleet);
                AcceptedAt accepted = fleet.apply(BenchDeclarations.brands(1, "after"));
                long acceptedNanos = System.nanoTime();
                fleet.awaitInstalled(accepted, fleet.names());
                long installedNanos = System.nanoTime();
                fleet.awaitMembers(fleet.names().size());
                long knownNanos = System.nanoTime();
                out.println("fault: " + fault.word());
                out.println("all_current_ms: " + (installedNanos - from) / 1_000_000);
                out.println("all_current_after_acceptance_ms: " + (installedNanos - acceptedNanos) / 1_000_000);
                out.println("all_members_known_ms: " + (knownNanos - from) / 1_000_000);
                out.println("store_peak_calls_per_s: "
                        + fleet.control("counts").path("all").path("peakSecond").asLong());
                out.println("requests: " + callers.sent());
                out.println("failed_requests: " + callers.failed());
            }
        }
    }

    private static void bringAbout(Fault fault, ControlFleet fleet) throws InterruptedException {
        switch (fault) {
            case KILL_HALF -> replace(fleet, half(fleet));
            case KILL_ALL -> replace(fleet, fleet.instances());
            case KILL_ZONE -> replace(fleet, zone(fleet));
            case STORE_OUT -> {
                fleet.apply(BenchDeclarations.brands(1, "before"));
                fleet.control("outage?millis=" + OUTAGE_MILLIS);
                TimeUnit.MILLISECONDS.sleep(OUTAGE_MILLIS);
            }
            case STORE_SLOW -> slow(fleet);
            case STORE_SLOW_KILL_HALF -> {
                slow(fleet);
                replace(fleet, half(fleet));
            }
        }
    }

    private static void slow(ControlFleet fleet) {
        fleet.control("slow?millis=" + OUTAGE_MILLIS + "&min_ms=" + SLOW_MIN_MILLIS + "&max_ms=" + SLOW_MAX_MILLIS);
    }

    private static List<FleetPlan.Instance> half(ControlFleet fleet) {
        List<FleetPlan.Instance> all = fleet.instances();
        return all.stream().filter(i -> all.indexOf(i) % 2 == 0).toList();
    }

    private static List<FleetPlan.Instance> zone(ControlFleet fleet) {
        FleetPlan.Instance first = fleet.instances().getFirst();
        return fleet.instances().stream()
                .filter(i -> i.place().equals(first.place()))
                .toList();
    }

    private static void replace(ControlFleet fleet, List<FleetPlan.Instance> killed) {
        killed.forEach(i -> fleet.kill(i.name()));
        killed.forEach(fleet::startDaemon);
        killed.forEach(fleet::awaitDaemon);
    }
}

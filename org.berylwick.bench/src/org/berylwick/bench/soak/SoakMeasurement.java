package org.berylwick.bench.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.berylwick.bench.Measurement;
import org.berylwick.bench.fleet.FleetPlan;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;

/** The long randomised run; every figure but {@code requests}, verdicts and strikes must be 0. */
public final class SoakMeasurement implements Measurement {
    private static final long REST_MILLIS = 3_000;
    private static final long OPERATOR_PAUSE_MILLIS = 1_500;
    private static final long SERVED_POLL_MILLIS = 200;
    private static final Duration SERVED_TIMEOUT = Duration.ofSeconds(60);

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("a long randomised run under load and faults, judged by the stand-ins");
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--minutes").type(Double.class).setDefault(5.0);
        parser.addArgument("--daemons").type(Integer.class).setDefault(12);
        parser.addArgument("--rate").type(Integer.class).setDefault(80).help("requests a second");
        parser.addArgument("--spread").choices("watch", "spread").setDefault("spread");
    }

    @Override
    public void run(Namespace options, PrintStream out) throws Exception {
        // The host header is this client's to choose: a brand is known by it.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        Path example = Path.of(System.getProperty("berylwick.top", "."), "examples", "silong");
        List<FleetPlan.Instance> all =
                FleetPlan.read(example.resolve("fleet.toml")).instances();
        // Instances of all services are taken in turn, so that a small fleet has each service too.
        FleetPlan plan = new FleetPlan(spreadOverServices(all, options.getInt("daemons")));
        String settings = "[spread]\nmode = \"" + options.getString("spread") + "\"\n";
        long seed = options.getLong("seed");
        try (SoakFleet fleet = new SoakFleet(plan, settings)) {
            fleet.start();
            FaultLog log = new FaultLog();
            SoakJudge judge = new SoakJudge(log, fleet.ledger());
            SoakOperator operator = new SoakOperator(fleet, seed);
            operator.applyAll(documents(example));
            awaitServed(fleet);
            Deadline until = Deadline.afterMillis(
                    TimeSource.SYSTEM, (long) (options.getDouble("minutes") * TimeUnit.MINUTES.toMillis(1)));
            try (CheckingClient client = new CheckingClient(fleet, judge, "r", seed);
                    VersionWatcher watcher = new VersionWatcher(fleet, judge)) {
                Thread load = Thread.ofPlatform().start(() -> load(client, options.getInt("rate"), until));
                Thread changes = Thread.ofPlatform().start(() -> changes(operator, until));
                faults(
                        new FaultRunner(fleet, operator, log, judge),
                        new FaultSchedule(seed, plan.instances().size()),
                        until,
                        out);
                load.join();
                changes.join();
                fleet.platform().faults().clear();
                watcher.settle(operator);
            }
            fleet.breaches().forEach(judge::countLogged);
            judge.close();
            print(out, options, judge, fleet, operator, log);
        }
    }

    private static List<FleetPlan.Instance> spreadOverServices(List<FleetPlan.Instance> all, int number) {
        List<String> services =
                all.stream().map(FleetPlan.Instance::service).distinct().toList();
        List<FleetPlan.Instance> left = new ArrayList<>(all);
        List<FleetPlan.Instance> taken = new ArrayList<>();
        while (taken.size() < number && !left.isEmpty()) {
            String service = services.get(taken.size() % services.size());
            FleetPlan.Instance next = left.stream()
                    .filter(i -> i.service().equals(service))
                    .findFirst()
                    .orElse(left.getFirst());
            left.remove(next);
            taken.add(next);
        }
        return taken;
    }

    private static String documents(Path example) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String file : List.of("services.toml", "brands.toml", "policies.toml", "routes.toml")) {
            text.append(Files.readString(example.resolve(file))).append('\n');
        }
        return text.toString();
    }

    private static void awaitServed(SoakFleet fleet) throws InterruptedException {
        Deadline by = Deadline.after(TimeSource.SYSTEM, SERVED_TIMEOUT);
        FaultLog log = new FaultLog();
        SoakJudge warm = new SoakJudge(log, fleet.ledger());
        long answered = 0;
        int round = 0;
        while (answered < fleet.nodes().size() && !by.isPast(TimeSource.SYSTEM)) {
            round++;
            try (CheckingClient client = new CheckingClient(fleet, warm, "warm" + round, 0)) {
                client.run(50, Deadline.afterMillis(TimeSource.SYSTEM, SERVED_POLL_MILLIS * 10));
            }
            answered = warm.figures().getOrDefault("verdict_answered", 0L);
        }
    }

    private static void load(CheckingClient client, int rate, Deadline until) {
        try {
            client.run(rate, until);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void changes(SoakOperator operator, Deadline until) {
        try {
            while (!until.isPast(TimeSource.SYSTEM)) {
                operator.applyOne();
                Thread.sleep(OPERATOR_PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void faults(FaultRunner runner, FaultSchedule schedule, Deadline until, PrintStream out)
            throws InterruptedException {
        while (!until.isPast(TimeSource.SYSTEM)) {
            List<FaultSchedule.Step> steps = schedule.next();
            out.println("# " + until.remainingMillis(TimeSource.SYSTEM) / 1_000 + " s left: " + steps);
            List<Thread> running = new ArrayList<>();
            for (FaultSchedule.Step step : steps) {
                running.add(Thread.ofPlatform().start(() -> run(runner, step)));
            }
            for (Thread t : running) {
                t.join();
            }
            Thread.sleep(REST_MILLIS);
        }
    }

    private static void run(FaultRunner runner, FaultSchedule.Step step) {
        try {
            runner.run(step);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void print(
            PrintStream out, Namespace options, SoakJudge judge, SoakFleet fleet, SoakOperator operator, FaultLog log) {
        out.println("seed: " + options.getLong("seed"));
        out.println("minutes: " + options.getDouble("minutes"));
        out.println("daemons: " + fleet.nodes().size());
        judge.figures().forEach((name, figure) -> out.println(name + ": " + figure));
        out.println("changes_accepted: " + operator.accepted().size());
        out.println("changes_refused: " + operator.refused());
        out.println("changes_undecided: " + operator.undecided().size());
        out.println("store_calls_peak_per_s: "
                + fleet.platform().counter().counts().all().peakSecond());
        fleet.breaches().forEach((name, lines) -> out.println("invariant_breach_lines_" + name + ": " + lines));
        List<String> missing = new ArrayList<>();
        for (FaultKind kind : FaultKind.values()) {
            out.println(kind.key() + ": " + log.struck(kind));
            if (log.struck(kind) == 0) {
                missing.add(kind.name());
            }
        }
        if (!missing.isEmpty()) {
            out.println("does_not_count_for: " + String.join(" ", missing));
        }
        judge.examples().forEach(e -> out.println("example_" + e));
    }
}

package org.berylwick.bench.quickstart;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.berylwick.bench.fleet.Fleet;
import org.berylwick.bench.fleet.FleetOperator;
import org.berylwick.bench.fleet.FleetPlan;
import org.berylwick.bench.fleet.FleetPlan.Instance;
import org.berylwick.lib.HostPort;

/** The steps that show an example at work; each throws {@link IllegalStateException} if it did not do as it should. */
public final class Tour {
    private static final Duration SETTLE = Duration.ofSeconds(30);
    // Neighbours in the plan belong to one service; a stride goes through daemons of all of them.
    private static final int STRIDE = 3;

    private final Path top;
    private final Path example;
    private final List<Sample> samples;
    private final Fleet fleet;
    private final FleetPlan plan;
    private final PrintStream out;
    private final Caller caller = new Caller();
    private final long startNanos = System.nanoTime();

    /**
     * A tour of one example.
     *
     * @param top the project's folder
     * @param name the example's
     */
    public Tour(Path top, String name, Fleet fleet, PrintStream out) {
        this.top = top;
        this.example = top.resolve("examples").resolve(name);
        this.samples = Sample.ofExample(name);
        this.fleet = fleet;
        this.plan = FleetPlan.read(example.resolve("fleet.toml"));
        this.out = out;
    }

    /** Starts everything, shows it, and leaves it running. */
    public void run() throws IOException, InterruptedException {
        step("starting the stand-ins and " + plan.instances().size() + " daemons, each a process");
        fleet.start(plan);
        HostPort admin = fleet.addresses(plan.instances().getFirst().name()).admin();
        FleetOperator operator = new FleetOperator(admin);
        CommandLineTool berylwick = new CommandLineTool(top, admin, out);
        step("applying the example");
        berylwick.run("apply", file("brands"), file("routes"), file("policies"), file("services"), "-m", "quickstart");
        awaitEverywhere(operator, 1);
        step("one request of each kind, each through another daemon");
        for (int i = 0; i < samples.size(); i++) {
            out.println(samples.get(i).kind() + ": " + send(samples.get(i), i * STRIDE));
        }
        step("what is in force, and where");
        berylwick.run("status");
        step("changing one brand");
        changeOneBrand(berylwick, operator);
    }

    private void step(String text) {
        out.printf("[%4.1f s] %s%n", (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1), text);
    }

    private String file(String kind) {
        return example.resolve(kind + ".toml").toString();
    }

    private void awaitEverywhere(FleetOperator operator, long version) throws InterruptedException {
        List<String> names = plan.instances().stream().map(Instance::name).toList();
        operator.awaitInForce(version, names, SETTLE);
        step("version " + version + " is in force on all " + names.size() + " daemons");
    }

    private void changeOneBrand(CommandLineTool berylwick, FleetOperator operator)
            throws IOException, InterruptedException {
        Sample changed = samples.get(0);
        Sample other = samples.get(1);
        try (OneBrandChange change = new OneBrandChange(example.resolve("brands.toml"), changed.host())) {
            berylwick.run("apply", change.file().toString(), "-m", "another theme for one brand");
        }
        awaitEverywhere(operator, 2);
        String after = send(changed, STRIDE);
        String untouched = send(other, 2 * STRIDE);
        out.println("changed brand: " + after);
        out.println("other brand:   " + untouched);
        require(after.contains(OneBrandChange.THEME), "the changed brand's traffic does not show the change");
        require(!untouched.contains(OneBrandChange.THEME), "the change reached another brand's traffic");
    }

    private String send(Sample sample, int daemon) throws InterruptedException {
        Instance entry = plan.instances().get(daemon % plan.instances().size());
        return "via " + entry.name() + " -> "
                + caller.send(sample, fleet.addresses(entry.name()).callers());
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalStateException(otherwise);
        }
    }

    /** Prints where everything listens and what to try; returns at once. */
    public void printAddresses() {
        plan.instances().forEach(i -> out.println(i.name() + " " + fleet.addresses(i.name())));
        out.println("platform " + fleet.platform());
        Instance first = plan.instances().getFirst();
        Sample read = samples.getFirst();
        out.println("export BERYLWICK_ADMIN=" + fleet.addresses(first.name()).admin());
        out.println("export CALLERS=" + fleet.addresses(first.name()).callers());
        out.println("try: bin/berylwick status");
        out.println("try: curl -i -H 'host: " + read.host() + "' http://$CALLERS" + read.path());
        out.println("running; interrupt to stop everything gracefully");
    }

    /** Says that everything has stopped, and when. */
    public void printStopped() {
        step("everything stopped");
    }
}

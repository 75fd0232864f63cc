package org.berylwick.bench.emulate;

import java.io.PrintStream;
import java.util.List;
import java.util.function.Consumer;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.berylwick.bench.Measurement;

/**
 * Measures what callers get of the node's decisions under loads that are named; the same seed gives the same figures.
 */
public final class EmulateMeasurement implements Measurement {
    private static final double CALM_SECONDS = 20;

    private record Scenario(String name, Deployment deployment, Consumer<Emulation> load) {}

    private static List<Scenario> scenarios(long seed) {
        Deployment shortOnes = Deployment.shortObjectives(1);
        Deployment longOnes = Deployment.longObjectives(1);
        return List.of(
                new Scenario("short.calm", shortOnes, e -> e.run(CALM_SECONDS)),
                new Scenario("short.busy", Deployment.shortObjectives(1.25), e -> e.run(CALM_SECONDS)),
                new Scenario("short.burst", shortOnes, e -> burst(e, 1.7)),
                new Scenario("short.shed", Deployment.shortObjectives(1.25), e -> shed(e, "desk")),
                new Scenario("short.slow", shortOnes, e -> slow(e, "desk")),
                new Scenario("short.away", shortOnes, e -> away(e, "vault")),
                new Scenario("short.left", shortOnes, e -> left(e, "vault", 2)),
                new Scenario("short.lost", shortOnes, e -> lost(e, "desk")),
                new Scenario("short.crash", shortOnes, e -> crash(e, "lookup")),
                new Scenario("long.crash", longOnes, e -> crash(e, "confirm")),
                new Scenario("narrow.crash", Deployment.narrowLinks(1), e -> crash(e, "lookup")),
                new Scenario("short.limited", shortOnes, e -> limited(e, "desk", 2)),
                new Scenario("long.limited", longOnes, e -> limited(e, "board", 2)),
                new Scenario("narrow.limited", Deployment.narrowLinks(1), e -> limited(e, "desk", 10)),
                new Scenario("long.calm", longOnes, e -> e.run(CALM_SECONDS)),
                new Scenario("long.burst", longOnes, e -> burst(e, 1.7)),
                new Scenario("long.slow", longOnes, e -> slow(e, "books")),
                new Scenario("long.away", Deployment.longObjectives(1.2), e -> away(e, "books")),
                new Scenario("narrow.calm", Deployment.narrowLinks(1), e -> e.run(CALM_SECONDS)),
                new Scenario("narrow.busy", Deployment.narrowLinks(1.3), e -> e.run(CALM_SECONDS)),
                new Scenario("narrow.over", Deployment.narrowLinks(1.7), e -> e.run(CALM_SECONDS)),
                new Scenario("narrow.burst", Deployment.narrowLinks(1), e -> burst(e, 1.7)),
                new Scenario("answers.calm", Deployment.largeAnswers(1), e -> e.run(CALM_SECONDS)),
                new Scenario("answers.busy", Deployment.largeAnswers(1.5), e -> e.run(CALM_SECONDS)),
                new Scenario("answers.full", Deployment.largeAnswers(1.9), e -> e.run(CALM_SECONDS)),
                new Scenario("answers.over", Deployment.largeAnswers(1, 300_000), e -> e.run(CALM_SECONDS)),
                new Scenario("answers.shed", Deployment.largeAnswers(1.5), e -> shed(e, "books")),
                new Scenario("chain.calm", Deployment.chain(0.52), e -> e.run(CALM_SECONDS)),
                new Scenario("chain.busy", Deployment.chain(0.8), e -> e.run(CALM_SECONDS)),
                new Scenario("chain.full", Deployment.chain(1), e -> e.run(CALM_SECONDS)),
                new Scenario("chain.over", Deployment.chain(1.5), e -> e.run(CALM_SECONDS)),
                new Scenario("chain.left", Deployment.chain(0.8), e -> left(e, "files", 3)),
                new Scenario("uneven.calm", Deployment.unevenSpeeds(1), e -> waver(e, true)),
                new Scenario("untold.calm", Deployment.unevenSpeeds(1), e -> waver(e, false)),
                new Scenario("uneven.busy", Deployment.unevenSpeeds(1.25), e -> waver(e, true)),
                new Scenario("untold.busy", Deployment.unevenSpeeds(1.25), e -> waver(e, false)),
                new Scenario("uneven.full", Deployment.unevenSpeeds(1.5), e -> waver(e, true)),
                new Scenario("untold.full", Deployment.unevenSpeeds(1.5), e -> waver(e, false)),
                new Scenario("random.calm", Deployment.random(seed), e -> e.run(CALM_SECONDS)),
                new Scenario("random.burst", Deployment.random(seed + 1), e -> burst(e, 1.7)));
    }

    private static void waver(Emulation e, boolean stated) {
        e.waver(stated);
        e.run(CALM_SECONDS);
    }

    private static void burst(Emulation e, double factor) {
        e.run(6);
        e.load(factor);
        e.run(5);
        e.load(1);
        e.run(7);
    }

    private static void shed(Emulation e, String service) {
        e.run(4);
        e.shed(service, 0.55);
        e.run(8);
        e.shed(service, 0);
        e.run(4);
    }

    private static void slow(Emulation e, String service) {
        e.run(4);
        e.slow(service, 2, 5);
        e.run(7);
        e.slow(service, 2, 1);
        e.run(4);
    }

    private static void away(Emulation e, String service) {
        e.run(4);
        e.away(service, service.equals("books") ? 2 : 1, true);
        e.run(10);
    }

    /** Some leave for good: of three servers, the one that is left has room for a third of its service. */
    private static void left(Emulation e, String service, int servers) {
        e.run(4);
        e.away(service, servers, true);
        e.run(10);
    }

    private static void lost(Emulation e, String service) {
        e.run(4);
        e.lose(service, 4, 0.1);
        e.run(8);
    }

    private static void crash(Emulation e, String kind) {
        e.run(4);
        e.sendCrashing(kind, 0.5);
        e.run(16);
    }

    private static void limited(Emulation e, String service, int servers) {
        e.run(4);
        e.limit(service, servers, 10);
        e.run(10);
        e.limit(service, servers, Double.POSITIVE_INFINITY);
        e.run(4);
    }

    @Override
    public String name() {
        return "emulate";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("what callers get of the node's decisions under load, in virtual time without processes");
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--seeds").type(Integer.class).setDefault(1).help("play so many seeds, and print the means");
        parser.addArgument("--only").setDefault("").help("play the loads whose names begin so");
    }

    @Override
    public void run(Namespace options, PrintStream out) {
        long first = options.getLong("seed");
        int seeds = options.getInt("seeds");
        String only = options.getString("only");
        double all = 0;
        int played = 0;
        for (Scenario scenario : scenarios(first)) {
            if (!scenario.name().startsWith(only)) {
                continue;
            }
            double worth = 0;
            for (int i = 0; i < seeds; i++) {
                try (Emulation emulation = new Emulation(scenario.deployment(), first + i)) {
                    scenario.load().accept(emulation);
                    worth += emulation.outcomes().worth();
                    if (i == seeds - 1) {
                        emulation.outcomes().print(scenario.name(), out);
                    }
                }
            }
            out.printf("%s.mean_worth: %.4f%n", scenario.name(), worth / seeds);
            all += worth / seeds;
            played++;
        }
        out.printf("mean_worth: %.4f%n", all / Math.max(1, played));
    }
}

package org.berylwick.bench.nodes;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.berylwick.bench.Measurement;
import org.berylwick.standin.objects.BackendVm;
import org.berylwick.standin.objects.ObjectApiServer.Trouble;

/**
 * Real nodes under a seeded series of faults, judged by what callers and backend servers see. Faults overlap, come in
 * series, and leave nothing out: signals, restarts, replaced backend servers, a store in trouble, new versions.
 */
public final class NodeSoak implements Measurement {
    private static final double NARROW_MBPS = 6;
    private static final int STEPS_PER_CRASHING_REQUEST = 8;
    private static final int CRASHING_REQUESTS = 3;
    private static final long STATEMENT_SEED_OFFSET = 1_000_003;
    private static final int STEPS_PER_STATEMENT = 4;
    private static final long UNFRAMED_SEED_OFFSET = 2_000_003;
    private static final int STEPS_PER_UNFRAMED = 5;
    private static final double RESET_SHARE = 0.4;
    private static final long STREAM_SEED_OFFSET = 3_000_017;
    private static final int STEPS_PER_STREAM = 6;
    private static final int HELD_HEARTBEATS = 3;
    private static final long HEARTBEAT_MILLIS = 400;
    private static final long REFUSED_MILLIS = 9_000;
    private static final String[] LIMITS = {"2", "5.5", "12", "0", "NaN"};
    /** How long a backend server that is replaced serves on. */
    private static final long STAY_MILLIS = 1_300;

    private static final long CALM_MILLIS = 7_000;
    private static final long START_MILLIS = 60_000;
    /** From the acceptance of a version, while no fault goes on, to its being in force everywhere. */
    private static final long IN_FORCE_MILLIS = 4_000;

    private static final Pattern STARTED = Pattern.compile("\"STARTED\"");

    private NodeFleet fleet;
    private NodeJudge judge;
    private NodeCallers callers;
    private FaultThreads threads;
    private ProcessFaults processes;
    private ResponseFaultDraw responses;
    private DirectoryFaultDraw entries;
    private volatile boolean planned;

    @Override
    public String name() {
        return "node-soak";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("nodes as processes under a seeded series of faults; every finding is printed");
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--seconds").type(Integer.class).setDefault(60);
        parser.addArgument("--nodes").type(Integer.class).setDefault(6);
        parser.addArgument("--planned")
                .action(Arguments.storeTrue())
                .help("planned work alone, under load that fills narrow links: then no request may be lost");
        parser.addArgument("--leaves")
                .action(Arguments.storeTrue())
                .help("backend servers that leave, beside kills, late heartbeats, false health and a store in trouble");
    }

    @Override
    public void run(Namespace options, PrintStream out) throws Exception {
        long seed = options.getLong("seed");
        int seconds = options.getInt("seconds");
        int nodes = options.getInt("nodes");
        List<String> findings = options.getBoolean("planned")
                ? soakPlanned(seed, seconds, nodes, out)
                : options.getBoolean("leaves")
                        ? soakLeaves(seed, seconds, nodes, out)
                        : soak(seed, seconds, nodes, out);
        out.println("findings: " + findings.size());
    }

    /**
     * Runs once.
     *
     * @param seed of the faults
     * @param seconds of faults, before the calm in which all must be well again
     * @param nodes how many
     * @param out takes figures and findings
     */
    public List<String> soak(long seed, int seconds, int nodes, PrintStream out) throws Exception {
        try (NodeFleet started = new NodeFleet(nodes, ownNet())) {
            // Drawn apart, so that the other faults of a seed stay the same.
            Random crashes = new Random(~seed);
            Random statements = new Random(seed + STATEMENT_SEED_OFFSET);
            Random unframed = new Random(seed + UNFRAMED_SEED_OFFSET);
            return soak(
                    started,
                    seed,
                    seconds,
                    random -> {
                        fault(random);
                        drawCrashingRequest(crashes);
                        drawStatement(statements);
                        drawUnframedAnswers(unframed);
                        responses.draw();
                        entries.draw();
                    },
                    out);
        }
    }

    /**
     * Runs once with planned work alone, which overlaps and comes in series: stops, replaced backend servers, new
     * versions, settings read again. Links are narrow, and large answers fill them.
     *
     * @param seed of the work
     * @param seconds of work, before the calm in which all must be well again
     * @param nodes how many
     * @param out takes figures and findings
     */
    public List<String> soakPlanned(long seed, int seconds, int nodes, PrintStream out) throws Exception {
        planned = true;
        try (NodeFleet started = new NodeFleet(nodes, ownNet(), NARROW_MBPS)) {
            return soak(started, seed, seconds, this::plannedWork, out);
        }
    }

    /**
     * Runs once with backend servers that leave, while their nodes are killed, heartbeats come late, health answers are
     * false and the store is in trouble.
     *
     * @param seed of the leaves and faults
     * @param seconds of leaves, before the calm in which all must be well again
     * @param nodes how many
     * @param out takes figures and findings
     */
    public List<String> soakLeaves(long seed, int seconds, int nodes, PrintStream out) throws Exception {
        try (NodeFleet started = new NodeFleet(nodes, ownNet())) {
            Random streams = new Random(seed + STREAM_SEED_OFFSET);
            return soak(
                    started,
                    seed,
                    seconds,
                    random -> {
                        leaveBesideFaults(random);
                        drawDelayedStream(streams);
                        responses.draw();
                        entries.draw();
                    },
                    out);
        }
    }

    /** Soaks that run side by side have addresses of their own, since each picks its ports by itself. */
    private static int ownNet() {
        return 100 + (int) (ProcessHandle.current().pid() % 100);
    }

    private interface Draw {
        void draw(Random random) throws InterruptedException;
    }

    private List<String> soak(NodeFleet started, long seed, int seconds, Draw draw, PrintStream out)
            throws InterruptedException {
        Random random = new Random(seed);
        fleet = started;
        judge = new NodeJudge(fleet.book());
        threads = new FaultThreads(judge);
        processes = new ProcessFaults(fleet, judge, threads);
        responses = new ResponseFaultDraw(seed, fleet, threads);
        entries = new DirectoryFaultDraw(seed, fleet, threads);
        callers = new NodeCallers(fleet, judge, planned);
        awaitReady();
        callers.start();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < until) {
            draw.draw(random);
            Thread.sleep(300 + random.nextInt(1_200));
        }
        endFaults();
        Thread.sleep(CALM_MILLIS);
        judgeCalm();
        processes.end();
        callers.close();
        judge.close();
        judge.counts().forEach((what, count) -> out.println(what + ": " + count));
        judge.findings().forEach(f -> out.println("finding (seed " + seed + "): " + f));
        if (!judge.findings().isEmpty()) {
            out.println("logs: " + fleet.folder());
        }
        return new ArrayList<>(judge.findings());
    }

    /**
     * Waits for the faults that go on, and for the processes they started: how fast a JVM starts is not judged here.
     */
    private void endFaults() throws InterruptedException {
        threads.join();
        fleet.store().setTrouble(Trouble.NONE);
        for (NodeFleet.Vm vm : fleet.vms()) {
            vm.process().awaitLine(STARTED, Duration.ofMillis(START_MILLIS));
        }
    }

    private void awaitReady() throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
        for (NodeFleet.Vm vm : fleet.vms()) {
            while (!callers.isReady(vm)) {
                if (System.nanoTime() > until) {
                    throw new IllegalStateException(vm.process().output());
                }
                Thread.sleep(100);
            }
        }
    }

    private void fault(Random random) throws InterruptedException {
        NodeFleet.Vm vm = fleet.vms().get(random.nextInt(fleet.vms().size()));
        int kind = random.nextInt(10);
        switch (kind) {
            case 0 -> threads.later("kill", () -> processes.kill(vm, 0));
            case 1 -> threads.later("stop", () -> processes.plannedStop(vm));
            case 2 -> threads.later("pause", () -> ProcessFaults.pause(vm, 300 + random.nextInt(3_000)));
            case 3 -> threads.later("replace", () -> vm.backend().leave(BackendVm.LeaveWord.DRAINING, STAY_MILLIS));
            case 4 -> {
                Trouble[] all = Trouble.values();
                Trouble trouble = all[random.nextInt(all.length)];
                threads.later("store_" + trouble, () -> storeTrouble(trouble));
            }
            case 5 -> fleet.store().forgetHistory();
            case 6, 7 -> fleet.accept();
            case 8 -> threads.later("lose", () -> loseAnswers(vm));
            default -> threads.later("herd_kill", processes::killAll);
        }
    }

    /** Leaves of backend servers beside kills, late heartbeats, false health answers and a store in trouble. */
    private void leaveBesideFaults(Random random) throws InterruptedException {
        NodeFleet.Vm vm = fleet.vms().get(random.nextInt(fleet.vms().size()));
        switch (random.nextInt(10)) {
            case 0, 1, 2, 3, 4 -> drawLeave(vm, random);
            case 5 -> threads.later("herd_kill", processes::killAll);
            case 6 -> threads.later("power_off", processes::powerOffAll);
            case 7 -> {
                Trouble[] all = Trouble.values();
                Trouble trouble = all[random.nextInt(all.length)];
                threads.later("store_" + trouble, () -> storeTrouble(trouble));
            }
            case 8 -> threads.later("pause", () -> ProcessFaults.pause(vm, 300 + random.nextInt(1_500)));
            default -> fleet.accept();
        }
    }

    private void drawLeave(NodeFleet.Vm vm, Random random) {
        BackendVm.LeaveWord word = BackendVm.LeaveWord.values()[random.nextInt(2)];
        long stayMillis = 1_500 + random.nextInt(5_000);
        boolean healthFalse = random.nextBoolean();
        threads.later("leave_" + word, () -> {
            vm.backend().setHealthFalse(healthFalse);
            judge.count(describe(vm.backend().leave(word, stayMillis)));
        });
        if (random.nextInt(4) > 0) {
            long killAfterMillis = random.nextInt(1_500);
            threads.later("kill", () -> {
                Thread.sleep(killAfterMillis);
                processes.kill(vm, 0);
            });
        }
        BackendVm.Heartbeat held = vm.backend().lastReadyHeartbeat();
        int heartbeats = random.nextInt(4);
        for (int i = 0; i < heartbeats; i++) {
            long delayMillis = random.nextInt(5_000);
            threads.later("heartbeat_delayed", () -> {
                Thread.sleep(delayMillis);
                vm.backend().deliver(held);
            });
        }
    }

    private static String describe(BackendVm.LeaveResult result) {
        return switch (result) {
            case BackendVm.LeaveResult.Acknowledged(long millis) when millis < 100 -> "leave_acknowledged_under_100_ms";
            case BackendVm.LeaveResult.Acknowledged(long millis) when millis < 1_000 -> "leave_acknowledged_under_1_s";
            case BackendVm.LeaveResult.Acknowledged acknowledged -> "leave_acknowledged_later";
            case BackendVm.LeaveResult.NotAcknowledged notAcknowledged -> "leave_not_acknowledged";
            case BackendVm.LeaveResult.AlreadyLeaving alreadyLeaving -> "leave_skipped";
        };
    }

    /**
     * A backend server leaves while its last heartbeats are held up by the same time; when its leave is acknowledged,
     * all nodes are killed, and the store refuses the one beside it.
     */
    private void drawDelayedStream(Random random) {
        if (random.nextInt(STEPS_PER_STREAM) != 0) {
            return;
        }
        NodeFleet.Vm vm = fleet.vms().get(random.nextInt(fleet.vms().size()));
        long delayMillis = 2_500 + random.nextInt(2_500);
        long stayMillis = delayMillis + 2_000 + random.nextInt(2_000);
        boolean healthFalse = random.nextInt(3) == 0;
        threads.later("heartbeats_delayed_alike", () -> {
            List<Thread> parts = new ArrayList<>();
            for (int i = 0; i < HELD_HEARTBEATS; i++) {
                vm.backend()
                        .holdHeartbeat()
                        .ifPresent(held -> parts.add(threads.start("heartbeat_delayed", () -> {
                            Thread.sleep(delayMillis);
                            vm.backend().deliver(held);
                        })));
                Thread.sleep(HEARTBEAT_MILLIS);
            }
            vm.backend().setHealthFalse(healthFalse);
            parts.add(threads.start(
                    "leave",
                    () -> judge.count(describe(vm.backend().leave(BackendVm.LeaveWord.DEREGISTRATION, stayMillis)))));
            Thread.sleep(HEARTBEAT_MILLIS);
            vm.storePort().setRefused(true);
            processes.killAll();
            Thread.sleep(REFUSED_MILLIS);
            vm.storePort().setRefused(false);
            FaultThreads.join(parts);
        });
    }

    /** A backend server answers without a length, uploads before it has read them, and resets some answers midway. */
    private void drawUnframedAnswers(Random random) {
        if (random.nextInt(STEPS_PER_UNFRAMED) != 0) {
            return;
        }
        NodeFleet.Vm vm = fleet.vms().get(random.nextInt(fleet.vms().size()));
        NodeFleet.Vm entry = fleet.vms().get(random.nextInt(fleet.vms().size()));
        long millis = 1_500 + random.nextInt(2_500);
        threads.later("answers_unframed", () -> {
            vm.backend().setUnframed(true, RESET_SHARE);
            Thread.sleep(millis);
            vm.backend().setUnframed(false, 0);
        });
        threads.later("uploads", () -> callers.sendUploads(entry));
    }

    private void plannedWork(Random random) throws InterruptedException {
        NodeFleet.Vm vm = fleet.vms().get(random.nextInt(fleet.vms().size()));
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> threads.later("stop", () -> processes.plannedStop(vm));
            case 3 -> {
                long gapMillis = 100 + random.nextInt(1_000);
                threads.later("rolling_stop", () -> processes.stopInTurn(gapMillis));
            }
            case 4 -> threads.later("replace", () -> vm.backend().leave(BackendVm.LeaveWord.DRAINING, STAY_MILLIS));
            case 5 -> threads.later("reload", () -> ProcessFaults.reload(vm));
            default -> fleet.accept();
        }
    }

    private void storeTrouble(Trouble trouble) throws InterruptedException {
        fleet.store().setTrouble(trouble);
        Thread.sleep(2_500);
        fleet.store().setTrouble(Trouble.NONE);
    }

    private void drawCrashingRequest(Random random) {
        if (random.nextInt(STEPS_PER_CRASHING_REQUEST) == 0) {
            String path = "/read" + BackendVm.CRASHING + random.nextInt(CRASHING_REQUESTS);
            threads.later("crashing_request", () -> callers.sendCrashing(path));
        }
    }

    /** Backend servers state in their answers what they take, change it and withdraw it, or that they leave. */
    private void drawStatement(Random random) {
        if (random.nextInt(STEPS_PER_STATEMENT) != 0) {
            return;
        }
        NodeFleet.Vm vm = fleet.vms().get(random.nextInt(fleet.vms().size()));
        if (random.nextInt(3) == 0) {
            threads.later("leave_stated", () -> vm.backend().replaceByStatement(STAY_MILLIS));
            return;
        }
        String first = LIMITS[random.nextInt(LIMITS.length)];
        String second = LIMITS[random.nextInt(LIMITS.length)];
        long millis = 1_000 + random.nextInt(6_000);
        threads.later("limit_stated", () -> stateLimits(vm, millis, first, second));
    }

    private static void stateLimits(NodeFleet.Vm vm, long millis, String... limits) throws InterruptedException {
        for (String limit : limits) {
            vm.backend().setStatedLimit(Optional.of(limit));
            Thread.sleep(millis);
        }
        vm.backend().setStatedLimit(Optional.empty());
    }

    private static void loseAnswers(NodeFleet.Vm vm) throws InterruptedException {
        vm.backend().setLoseShare(0.3);
        Thread.sleep(2_000);
        vm.backend().setLoseShare(0);
    }

    /** After a calm, every node is ready, serves, and takes up a version that is accepted now. */
    private void judgeCalm() throws InterruptedException {
        for (NodeFleet.Vm vm : fleet.vms()) {
            if (!callers.isReady(vm)) {
                judge.find("RECOVER: node " + vm.number() + " is not ready after the calm: "
                        + vm.process().process().isAlive() + " " + vm.process().output());
            }
        }
        long number = fleet.accept();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(IN_FORCE_MILLIS);
        for (NodeFleet.Vm vm : fleet.vms()) {
            while (callers.versionStatus(vm, number) != 200) {
                if (System.nanoTime() > until) {
                    judge.find("CONFIG: version " + number + " is not served by node " + vm.number());
                    break;
                }
                Thread.sleep(50);
            }
        }
    }
}

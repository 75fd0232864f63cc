package org.berylwick.bench.nodes;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Kills, stops, pauses and reloads of the nodes' processes. */
final class ProcessFaults {
    private final NodeFleet fleet;
    private final NodeJudge judge;
    private final FaultThreads threads;
    private volatile boolean over;

    ProcessFaults(NodeFleet fleet, NodeJudge judge, FaultThreads threads) {
        this.fleet = fleet;
        this.judge = judge;
        this.threads = threads;
    }

    /** Starts no process any more. */
    void end() {
        over = true;
    }

    /** Kills a node, and starts it again after a while. */
    void kill(NodeFleet.Vm vm, long downMillis) throws InterruptedException {
        synchronized (vm) {
            vm.process().process().destroyForcibly().waitFor();
            Thread.sleep(downMillis);
            if (!over) {
                fleet.start(vm);
            }
        }
    }

    /** Stops a node within its grace, and starts it again. */
    void plannedStop(NodeFleet.Vm vm) throws InterruptedException {
        synchronized (vm) {
            long before = System.nanoTime();
            vm.note("SIGTERM");
            vm.process().process().toHandle().destroy();
            if (!vm.process().process().waitFor(NodeFleet.GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
                judge.find("a planned stop of node " + vm.number() + " outlasted its grace");
                vm.note("SIGKILL");
                vm.process().process().destroyForcibly().waitFor();
            }
            vm.note("ended with " + vm.process().process().exitValue());
            judge.count("stop_under_" + ((System.nanoTime() - before) / 1_000_000_000 + 1) + "s");
            if (!over) {
                fleet.start(vm);
            }
        }
    }

    /** Stops all nodes one after the other, without waiting for the one before. */
    void stopInTurn(long gapMillis) throws InterruptedException {
        List<Thread> stops = new ArrayList<>();
        for (NodeFleet.Vm vm : fleet.vms()) {
            stops.add(threads.start("stop", () -> plannedStop(vm)));
            Thread.sleep(gapMillis);
        }
        FaultThreads.join(stops);
    }

    static void pause(NodeFleet.Vm vm, long millis) throws InterruptedException {
        synchronized (vm) {
            vm.process().signal("STOP");
            Thread.sleep(millis);
            vm.process().signal("CONT");
        }
    }

    static void reload(NodeFleet.Vm vm) {
        if (vm.process().process().isAlive()) {
            vm.note("SIGHUP");
            vm.process().signal("HUP");
        }
    }

    /** Kills all nodes at once. */
    void killAll() throws InterruptedException {
        List<Thread> kills = new ArrayList<>();
        for (NodeFleet.Vm vm : fleet.vms()) {
            kills.add(threads.start("kill", () -> kill(vm, 500)));
        }
        FaultThreads.join(kills);
    }

    /** Ends all backend servers and nodes at once. */
    void powerOffAll() throws InterruptedException, IOException {
        for (NodeFleet.Vm vm : fleet.vms()) {
            vm.backend().losePower();
        }
        killAll();
    }
}

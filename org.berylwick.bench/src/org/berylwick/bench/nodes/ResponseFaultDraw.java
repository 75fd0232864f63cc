package org.berylwick.bench.nodes;

import java.util.Random;
import org.berylwick.standin.objects.ResponseFaults;

/** Draws times in which a backend server spoils its responses, apart from the other faults of a seed, which stay. */
final class ResponseFaultDraw {
    private static final long SEED_OFFSET = 4_000_037;
    private static final int STEPS_PER_FAULT = 2;
    private static final int MIN_MILLIS = 1_000;
    private static final int MAX_MILLIS = 4_000;

    private final Random random;
    private final NodeFleet fleet;
    private final FaultThreads threads;

    ResponseFaultDraw(long seed, NodeFleet fleet, FaultThreads threads) {
        this.random = new Random(seed + SEED_OFFSET);
        this.fleet = fleet;
        this.threads = threads;
    }

    /** Draws the faults of one step. */
    void draw() {
        NodeFleet.Vm vm = fleet.vms().get(random.nextInt(fleet.vms().size()));
        int millis = random.nextInt(MIN_MILLIS, MAX_MILLIS);
        long seed = random.nextLong();
        if (random.nextInt(STEPS_PER_FAULT) == 0) {
            threads.later("responses_spoiled", () -> {
                vm.backend().setResponseFaults(new ResponseFaults(seed, vm::note));
                Thread.sleep(millis);
                vm.backend().setResponseFaults(ResponseFaults.NONE);
            });
        }
    }
}

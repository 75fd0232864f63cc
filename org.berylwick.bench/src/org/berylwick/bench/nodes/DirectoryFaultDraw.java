package org.berylwick.bench.nodes;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.util.RawValue;
import java.util.Random;

/**
 * Draws entries that other software leaves in the directory of nodes, apart from the other faults of a seed, which
 * stay. The store takes any JSON of this kind, and the entries are there to the end.
 */
final class DirectoryFaultDraw {
    private static final long SEED_OFFSET = 5_000_011;
    private static final int STEPS_PER_ENTRY = 15;
    private static final String KIND = "mesh-nodes";
    private static final int NESTING = 5_000;

    private enum Entry {
        NESTED("{\"ip\":" + "[".repeat(NESTING) + "]".repeat(NESTING) + "}"),
        LARGE_NUMBER("{\"ip\":\"127.0.0.1\",\"number\":1" + "0".repeat(40) + "}"),
        PORT_OUT_OF_RANGE("{\"ip\":\"127.0.0.1:70000\",\"crashes\":[\"\"],\"departures\":[0]}"),
        ADDRESS_OUT_OF_RANGE("{\"ip\":\"127.0.0.300\",\"crashes\":{},\"departures\":\"\"}");

        private final String spec;

        Entry(String spec) {
            this.spec = spec;
        }
    }

    private final Random random;
    private final NodeFleet fleet;
    private final FaultThreads threads;

    DirectoryFaultDraw(long seed, NodeFleet fleet, FaultThreads threads) {
        this.random = new Random(seed + SEED_OFFSET);
        this.fleet = fleet;
        this.threads = threads;
    }

    /** Draws the fault of one step. */
    void draw() {
        Entry entry = Entry.values()[random.nextInt(Entry.values().length)];
        if (random.nextInt(STEPS_PER_ENTRY) == 0) {
            threads.later(
                    "entry_" + entry,
                    () -> fleet.store()
                            .put(
                                    KIND,
                                    "other-" + entry.ordinal(),
                                    JsonNodeFactory.instance.rawValueNode(new RawValue(entry.spec))));
        }
    }
}

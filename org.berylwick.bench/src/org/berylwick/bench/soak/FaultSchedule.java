package org.berylwick.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Draws the faults of a run from its seed: each kind alone once, in random order, then one or two at once at random.
 */
final class FaultSchedule {
    private static final int MIN_MILLIS = 2_000;
    private static final int MAX_MILLIS = 7_000;
    private static final double PAIR_PROBABILITY = 0.5;

    private final Random random;
    private final int nodes;
    private final List<FaultKind> first;

    /** A schedule for a fleet of {@code nodes}. */
    FaultSchedule(long seed, int nodes) {
        this.random = new Random(seed);
        this.nodes = nodes;
        first = new ArrayList<>(List.of(FaultKind.values()));
        Collections.shuffle(first, random);
    }

    /**
     * One fault to bring about.
     *
     * @param kind what fails
     * @param node index of the node that it strikes, if it strikes one
     * @param length how long it lasts, where it lasts
     * @param variant chooses among the ways that the kind has
     */
    record Step(FaultKind kind, int node, Duration length, int variant) {}

    /** The next faults, which begin together. */
    List<Step> next() {
        if (!first.isEmpty()) {
            return List.of(step(first.removeFirst()));
        }
        FaultKind one = any();
        if (random.nextDouble() >= PAIR_PROBABILITY) {
            return List.of(step(one));
        }
        FaultKind other = any();
        return List.of(step(one), step(other));
    }

    private FaultKind any() {
        return FaultKind.values()[random.nextInt(FaultKind.values().length)];
    }

    private Step step(FaultKind kind) {
        Duration length = Duration.ofMillis(random.nextInt(MIN_MILLIS, MAX_MILLIS));
        return new Step(kind, random.nextInt(nodes), length, random.nextInt(Integer.MAX_VALUE));
    }
}

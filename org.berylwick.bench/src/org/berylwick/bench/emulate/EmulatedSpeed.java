package org.berylwick.bench.emulate;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** How long work takes on a VM over time: as usual most of the time, and longer while neighbours use its processor. */
final class EmulatedSpeed {
    private static final double USUAL_SECONDS = 1.0;
    private static final double SHORTEST_SLOW_SECONDS = 0.1;
    private static final double SLOW_SECONDS = 0.6;
    private static final double LEAST_FACTOR = 1.5;
    private static final double FACTOR_RANGE = 2.5;

    private record Phase(long endsAt, double factor) {}

    private final Random random;
    private final List<Phase> phases = new ArrayList<>();

    EmulatedSpeed(long startsAt, Random random) {
        this.random = random;
        phases.add(new Phase(startsAt, 1));
    }

    private Phase phase(int index) {
        while (phases.size() <= index) {
            Phase last = phases.getLast();
            boolean slow = phases.size() % 2 == 0;
            double seconds = slow
                    ? SHORTEST_SLOW_SECONDS + random.nextDouble() * SLOW_SECONDS
                    : -Math.log(1 - random.nextDouble()) * USUAL_SECONDS;
            double factor = slow ? LEAST_FACTOR + random.nextDouble() * FACTOR_RANGE : 1;
            phases.add(new Phase(last.endsAt() + 1 + (long) (seconds * 1e9), factor));
        }
        return phases.get(index);
    }

    private int indexAt(long time) {
        int index = 0;
        while (phase(index).endsAt() <= time) {
            index++;
        }
        return index;
    }

    /** How many times as long as usual work takes at a time. */
    double factorAt(long time) {
        return phase(indexAt(time)).factor();
    }

    /** How long work takes that begins at a time and would usually take so long. */
    long nanosOf(long usualNanos, long startsAt) {
        int index = indexAt(startsAt);
        long time = startsAt;
        double left = usualNanos;
        while (left > (phase(index).endsAt() - time) / phase(index).factor()) {
            left -= (phase(index).endsAt() - time) / phase(index).factor();
            time = phase(index).endsAt();
            index++;
        }
        return time + (long) (left * phase(index).factor()) - startsAt;
    }
}

package org.berylwick.bench.call;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Sends calls over several paths by turns on a schedule that answers do not slow down.
 *
 * <p>The sending thread spins until each call is due, since a sleeping one would wake late by more than a call takes.
 */
final class OpenLoopLoad {
    private static final Duration DRAIN = Duration.ofSeconds(10);

    private final List<LoadPath> paths;
    private final Histogram lateness = new Histogram(LoadPath.HIGHEST_NANOS, LoadPath.DIGITS);

    OpenLoopLoad(List<LoadPath> paths) {
        this.paths = List.copyOf(paths);
    }

    /**
     * Sends for {@code duration} and waits for what is under way.
     *
     * @param rate calls a second on each path
     * @return nanoseconds by which each call was sent after it was due
     */
    Histogram run(int rate, Duration duration) throws InterruptedException {
        lateness.reset();
        long calls = duration.toMillis() * rate * paths.size() / TimeUnit.SECONDS.toMillis(1);
        double interval = (double) TimeUnit.SECONDS.toNanos(1) / rate / paths.size();
        long start = System.nanoTime();
        for (long i = 0; i < calls; i++) {
            long due = start + (long) (i * interval);
            awaitDue(due);
            lateness.recordValue(Math.min(LoadPath.HIGHEST_NANOS, Math.max(0, System.nanoTime() - due)));
            paths.get((int) (i % paths.size())).send(due);
        }
        drain();
        return lateness.copy();
    }

    private static void awaitDue(long due) {
        while (System.nanoTime() - due < 0) {
            Thread.onSpinWait();
        }
    }

    private void drain() throws InterruptedException {
        long end = System.nanoTime() + DRAIN.toNanos();
        while (paths.stream().anyMatch(p -> p.inFlight() > 0)) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("calls are still without an answer after " + DRAIN);
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }
}

package org.berylwick.node.call;

import java.util.HashSet;
import java.util.Set;

/** The requests that a backend server is processing, as its owner counts them; confined to the event loop. */
final class RunningRequests {
    /**
     * Smallest number of running requests assumed when computing the share of overdue ones, because one overdue request
     * among few is weak evidence.
     */
    private static final int MIN_RUNNING_FOR_LOSS_RATE = 4;

    private final Set<OwnerRun> runs = new HashSet<>();

    void add(OwnerRun run) {
        runs.add(run);
    }

    boolean remove(OwnerRun run) {
        return runs.remove(run);
    }

    int size() {
        return runs.size();
    }

    boolean isEmpty() {
        return runs.isEmpty();
    }

    /** Whether there are running requests, and all of them are overdue. */
    boolean areAllOverdue(long now) {
        return !runs.isEmpty() && overdueCount(now) == runs.size();
    }

    /** Overdue requests per thousand running ones. */
    int overduePerMille(long now) {
        return 1_000 * overdueCount(now) / Math.max(MIN_RUNNING_FOR_LOSS_RATE, runs.size());
    }

    private int overdueCount(long now) {
        int count = 0;
        for (OwnerRun run : runs) {
            if (run.isOverdue(now)) {
                count++;
            }
        }
        return count;
    }

    /** Number of requests whose response head has been forwarded. */
    int respondingCount() {
        int count = 0;
        for (OwnerRun run : runs) {
            if (run.isResponding()) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns the number of requests per thousand that the backend server loses. Overdue requests count as lost before
     * their deadline passes: otherwise a backend server that stops responding would be sent requests until all its
     * slots are taken, and answer none of them.
     */
    int lostPerMille(LossRate lossRate, long now) {
        return Math.max(lossRate.perMille(now), overduePerMille(now));
    }
}

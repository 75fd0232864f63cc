package org.berylwick.node.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Requests that wait at an owner for a slot of its backend server, or for the transfer of their bodies. Confined to the
 * event loop.
 *
 * <p>Designed for bursts and for backend servers that are short of capacity. Requests that can still meet their latency
 * objective go first, in the order of their objectives; those that no longer can go after all of them. With a single
 * queue, a burst would leave a backlog in which every request is served late, long after the burst is over.
 */
final class RequestQueue {
    /**
     * Delay added to the effective objective of a request for each priority level. It is finite, so that no level
     * starves.
     */
    static final long PRIORITY_STEP_NANOS = 100_000_000L;
    /** Maximum number of queued late requests per slot. They start only when no timely request is queued. */
    private static final double MAX_LATE_PER_SLOT = 0.5;

    private static final Comparator<OwnerRun> ORDER = RequestQueue::compare;

    private final TreeSet<OwnerRun> timely = new TreeSet<>(ORDER);
    private final TreeSet<OwnerRun> late = new TreeSet<>(ORDER);

    private static int compare(OwnerRun a, OwnerRun b) {
        int byObjective = Long.compare(a.effectiveObjectiveAt(), b.effectiveObjectiveAt());
        return byObjective != 0 ? byObjective : Long.compare(a.arrivalNumber(), b.arrivalNumber());
    }

    int size() {
        return timely.size() + late.size();
    }

    /** Returns how many queued requests that can meet their objective would start before the given one. */
    int countTimelyAhead(OwnerRun run) {
        return timely.headSet(run, true).size();
    }

    /** Returns whether one more late request may be queued. */
    boolean acceptsLate(int slots) {
        return late.size() < Math.max(1, slots * MAX_LATE_PER_SLOT);
    }

    void addTimely(OwnerRun run) {
        timely.add(run);
    }

    void addLate(OwnerRun run) {
        late.add(run);
    }

    void remove(OwnerRun run) {
        if (!timely.remove(run)) {
            late.remove(run);
        }
    }

    /** Removes and returns the request to start next. */
    Optional<OwnerRun> poll(long now) {
        while (!timely.isEmpty()) {
            OwnerRun first = timely.pollFirst();
            if (first.canMeetObjective(now)) {
                return Optional.of(first);
            }
            late.add(first);
        }
        return Optional.ofNullable(late.pollFirst());
    }

    /** Removes and returns all requests. */
    List<OwnerRun> removeAll() {
        List<OwnerRun> all = new ArrayList<>(timely);
        all.addAll(late);
        timely.clear();
        late.clear();
        return all;
    }
}

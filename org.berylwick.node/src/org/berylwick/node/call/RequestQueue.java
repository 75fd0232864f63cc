package org.berylwick.node.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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

    /**
     * Maximum number of queued requests per slot of organisations above their share. They only fill slots that the
     * others leave, and most that wait longer are refused late.
     */
    private static final double MAX_ABOVE_SHARE_PER_SLOT = 0.5;

    private static final Comparator<OwnerRun> ORDER = RequestQueue::compare;

    private final TreeSet<OwnerRun> timely = new TreeSet<>(ORDER);
    private final TreeSet<OwnerRun> late = new TreeSet<>(ORDER);
    /** Timely requests of organisations above their share, which wait behind the others of their priority. */
    private final TreeSet<OwnerRun> aboveShare = new TreeSet<>(ORDER);

    private static int compare(OwnerRun a, OwnerRun b) {
        int byObjective = Long.compare(a.effectiveObjectiveAt(), b.effectiveObjectiveAt());
        return byObjective != 0 ? byObjective : Long.compare(a.arrivalNumber(), b.arrivalNumber());
    }

    int size() {
        return timely.size() + late.size() + aboveShare.size();
    }

    /** Returns how many queued requests that can meet their objective would start before the given one. */
    int countTimelyAhead(OwnerRun run) {
        if (run.isAboveShare()) {
            return countAheadOfAboveShare(run);
        }
        int ahead = timely.headSet(run, true).size();
        for (OwnerRun other : aboveShare) {
            ahead += other.priority() != run.priority() && compare(other, run) < 0 ? 1 : 0;
        }
        return ahead;
    }

    private int countAheadOfAboveShare(OwnerRun run) {
        int ahead = aboveShare.headSet(run, true).size();
        for (OwnerRun other : timely) {
            ahead += other.priority() == run.priority() || compare(other, run) <= 0 ? 1 : 0;
        }
        return ahead;
    }

    /**
     * Returns the last request that may be evicted in favour of one of the given priority: its organisation is above
     * its share, and it is not more urgent.
     */
    Optional<OwnerRun> lastAboveShare(int priority) {
        for (OwnerRun run : aboveShare.descendingSet()) {
            if (run.priority() >= priority) {
                return Optional.of(run);
            }
        }
        return Optional.empty();
    }

    /** Returns whether one more late request may be queued. */
    boolean acceptsLate(int slots) {
        return late.size() < Math.max(1, slots * MAX_LATE_PER_SLOT);
    }

    /** Returns whether one more request of an organisation above its share may be queued. */
    boolean acceptsAboveShare(int slots) {
        return aboveShare.size() < Math.max(1, slots * MAX_ABOVE_SHARE_PER_SLOT);
    }

    void addTimely(OwnerRun run) {
        (run.isAboveShare() ? aboveShare : timely).add(run);
    }

    void addLate(OwnerRun run) {
        late.add(run);
    }

    void remove(OwnerRun run) {
        if (!timely.remove(run) && !late.remove(run)) {
            aboveShare.remove(run);
        }
    }

    /** Removes and returns the request to start next. */
    Optional<OwnerRun> poll(long now) {
        while (!timely.isEmpty() || !aboveShare.isEmpty()) {
            OwnerRun first = pollFirst();
            if (first.canMeetObjective(now)) {
                return Optional.of(first);
            }
            late.add(first);
        }
        return Optional.ofNullable(late.pollFirst());
    }

    /** Removes the first request that is not late; one above its share waits behind all timely ones of its priority. */
    private OwnerRun pollFirst() {
        Optional<OwnerRun> aboveShareNext = firstUnblockedAboveShare();
        if (aboveShareNext.isPresent() && (timely.isEmpty() || compare(aboveShareNext.get(), timely.first()) < 0)) {
            aboveShare.remove(aboveShareNext.get());
            return aboveShareNext.get();
        }
        // Not empty: without timely requests, none above its share has to wait behind one.
        return timely.pollFirst();
    }

    private Optional<OwnerRun> firstUnblockedAboveShare() {
        if (aboveShare.isEmpty()) {
            return Optional.empty();
        }
        Set<Integer> timelyPriorities = new HashSet<>();
        timely.forEach(run -> timelyPriorities.add(run.priority()));
        for (OwnerRun run : aboveShare) {
            if (!timelyPriorities.contains(run.priority())) {
                return Optional.of(run);
            }
        }
        return Optional.empty();
    }

    /** Removes and returns all requests. */
    List<OwnerRun> removeAll() {
        List<OwnerRun> all = new ArrayList<>(timely);
        all.addAll(late);
        all.addAll(aboveShare);
        aboveShare.clear();
        timely.clear();
        late.clear();
        return all;
    }
}

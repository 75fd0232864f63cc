package org.berylwick.node.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Requests that wait for a slot of one backend server; confined to the event loop.
 *
 * <p>The load it answers is a burst, or a backend server that is short of room. Requests that can still meet their
 * latency objective go first, the earliest objective before the others; one that no longer can gives way to all that
 * can. With one queue for all, a burst leaves a backlog in which every request is served and every one is late, long
 * after the burst is over.
 */
final class RequestQueue {
    /** A rank puts a request off by this much, so that no rank waits for ever. */
    static final long PRIORITY_STEP_NANOS = 100_000_000L;
    /** Late requests that wait, for each slot: they start only when nothing else does. */
    private static final double MAX_LATE_PER_SLOT = 0.5;

    private static final Comparator<OwnerRun> ORDER =
            Comparator.comparingLong(OwnerRun::dueAt).thenComparingLong(OwnerRun::number);

    private final TreeSet<OwnerRun> timely = new TreeSet<>(ORDER);
    private final TreeSet<OwnerRun> late = new TreeSet<>(ORDER);

    int size() {
        return timely.size() + late.size();
    }

    /** Requests that can meet their objective and would be started before this one. */
    int countTimelyAhead(OwnerRun run) {
        return timely.headSet(run, true).size();
    }

    /** Whether one more late request may wait. */
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

    /** Takes the request to be started next. */
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

    /** Takes out all. */
    List<OwnerRun> drain() {
        List<OwnerRun> all = new ArrayList<>(timely);
        all.addAll(late);
        timely.clear();
        late.clear();
        return all;
    }
}

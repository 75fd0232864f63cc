package org.berylwick.daemon.admin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import org.berylwick.lib.TimeSource;

/**
 * The latest attempts that this daemon refused or could not complete; any thread may use it.
 *
 * <p>It is memory only and ends with the process: the store is written for accepted changes alone, since whoever may
 * not change anything must not be able to spend its writes. Attempts without the token have a ring of their own, so
 * that a flood of them cannot push out what real operators did.
 */
final class AttemptLog {
    /** Attempts kept of each sort. */
    static final int CAPACITY = 256;

    private final Deque<Attempt> attempts = new ArrayDeque<>();
    private final Deque<Attempt> unauthenticated = new ArrayDeque<>();
    private final long startedAtEpochMillis;

    AttemptLog(TimeSource time) {
        startedAtEpochMillis = time.epochMillis();
    }

    synchronized void add(Attempt attempt) {
        add(attempts, attempt);
    }

    synchronized void addUnauthenticated(Attempt attempt) {
        add(unauthenticated, attempt);
    }

    private static void add(Deque<Attempt> ring, Attempt attempt) {
        if (ring.size() == CAPACITY) {
            ring.removeFirst();
        }
        ring.addLast(attempt);
    }

    /** All that are kept, newest first. */
    synchronized List<Attempt> newestFirst() {
        List<Attempt> all = new ArrayList<>(attempts);
        all.addAll(unauthenticated);
        all.sort(Comparator.comparingLong(Attempt::atEpochMillis).reversed());
        return all;
    }

    /** Operators' attempts since then are complete here. */
    synchronized long completeSinceEpochMillis() {
        return attempts.size() == CAPACITY ? attempts.getFirst().atEpochMillis() : startedAtEpochMillis;
    }
}

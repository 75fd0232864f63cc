package org.berylwick.node.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.berylwick.node.lib.RequestFingerprint;
import org.berylwick.node.lib.SuspectReport;

/** What this node knows of one request that was running when a backend server ended. */
final class Suspect {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    /** Crashes in succession from which the request is held back; a single one also hits what ran beside the cause. */
    private static final int MIN_STRIKES = 2;
    /** Holds back repeats while the backend servers restart. What only ran beside the cause completes after it. */
    private static final long FIRST_HOLD_NANOS = 5 * NANOS_PER_SECOND;
    /** Hold from the third crash on; each further trial costs a backend server. */
    private static final long LONG_HOLD_NANOS = 300 * NANOS_PER_SECOND;

    private static final int LONG_HOLD_FACTOR = 4;
    private static final long MAX_HOLD_NANOS = 3_600 * NANOS_PER_SECOND;
    /** Time for which an event is remembered beyond the hold. */
    private static final long MEMORY_NANOS = 600 * NANOS_PER_SECOND;

    private static final int MAX_CRASHES = 8;

    /** Least time between two trials of one entry; a crash becomes known to all nodes within it. */
    private static final long TRIAL_INTERVAL_NANOS = NANOS_PER_SECOND;

    private final RequestFingerprint request;
    private final double trialDelayShare;
    private Optional<Long> lastTrialAt = Optional.empty();
    /** Crashes since the latest completed run, by hash code of the incarnation that ended. */
    private final Map<Integer, Crash> crashes = new TreeMap<>();

    private boolean completed;
    private long completedAt;
    /** Other nodes may hold the request back, and must be told if this node has cleared it. */
    private boolean otherNodesMayHold;

    private record Crash(int generation, long at) {
        /** Combines two reports of one crash; a report that took longer to arrive gives a later time. */
        Crash merge(Crash other) {
            return new Crash(Math.max(generation, other.generation), Math.min(at, other.at));
        }
    }

    /**
     * @param request the request
     * @param trialDelayShare share of the longest delay by which this node delays trials, in [0, 1)
     */
    Suspect(RequestFingerprint request, double trialDelayShare) {
        this.request = request;
        this.trialDelayShare = trialDelayShare;
    }

    RequestFingerprint request() {
        return request;
    }

    /** Number of crashes in succession. */
    int generation() {
        return crashes.values().stream().mapToInt(Crash::generation).max().orElse(0);
    }

    /**
     * Adds a report of a crash. The result does not depend on the order of the reports, nor on repetitions.
     *
     * @return whether the report was new
     */
    boolean merge(SuspectReport.Crashed report) {
        if (completed && report.at() <= completedAt) {
            otherNodesMayHold |= report.generation() >= MIN_STRIKES;
            return false;
        }
        Crash reported = new Crash(report.generation(), report.at());
        Crash known = crashes.get(report.incarnation());
        crashes.merge(report.incarnation(), reported, Crash::merge);
        if (crashes.size() > MAX_CRASHES) {
            removeLeastTelling();
        }
        otherNodesMayHold |= isHoldDue();
        return known == null || known.generation() < report.generation();
    }

    private void removeLeastTelling() {
        Comparator<Map.Entry<Integer, Crash>> byGeneration =
                Comparator.comparingInt(entry -> entry.getValue().generation());
        crashes.entrySet().stream()
                .min(byGeneration.thenComparing(Map.Entry.comparingByKey()))
                .ifPresent(least -> crashes.remove(least.getKey()));
    }

    /**
     * Forgets the crashes before a completed run.
     *
     * @return whether there were any
     */
    boolean complete(long at) {
        completedAt = completed ? Math.max(completedAt, at) : at;
        completed = true;
        return crashes.values().removeIf(crash -> crash.at() <= completedAt);
    }

    /**
     * Number of crashes that count against the request: those in succession, and one more if further backend servers
     * ended at the same time as one of these.
     */
    private int strikes() {
        int generation = generation();
        boolean more = generation >= MIN_STRIKES && crashes.size() > generation;
        return more ? generation + 1 : generation;
    }

    boolean isHoldDue() {
        return strikes() >= MIN_STRIKES;
    }

    /** Whether the hold is long, so that it should outlast the loss of all nodes. */
    boolean isLastingHoldDue() {
        return strikes() > MIN_STRIKES;
    }

    /** The crashes that this node knows of. */
    List<SuspectReport.Crashed> crashReports() {
        List<SuspectReport.Crashed> reports = new ArrayList<>();
        crashes.forEach((incarnation, crash) ->
                reports.add(new SuspectReport.Crashed(request, crash.generation(), incarnation, crash.at())));
        return reports;
    }

    /** Time until which the request is held back, on the scale of {@link System#nanoTime}; the past if it is not. */
    long heldUntil() {
        return latestCrashAt() + holdNanos();
    }

    long remainingHoldNanos(long now) {
        return isHoldDue() ? Math.max(0, heldUntil() - now) : 0;
    }

    /** Time until an entry may try the request, 0 if it may now; the longest delay after the hold is given. */
    long untilNextTrialNanos(long now, long spreadNanos) {
        if (!isHoldDue()) {
            return 0;
        }
        long firstTrialAt = heldUntil() + (long) (trialDelayShare * spreadNanos);
        long nextTrialAt = lastTrialAt
                .map(at -> Math.max(firstTrialAt, at + TRIAL_INTERVAL_NANOS))
                .orElse(firstTrialAt);
        return Math.max(0, nextTrialAt - now);
    }

    void onTrialStarted(long now) {
        if (isHoldDue()) {
            lastTrialAt = Optional.of(now);
        }
    }

    private long latestCrashAt() {
        return crashes.values().stream().mapToLong(Crash::at).max().orElse(completedAt);
    }

    private long holdNanos() {
        int strikes = strikes();
        if (strikes < MIN_STRIKES) {
            return 0;
        }
        if (strikes == MIN_STRIKES) {
            return FIRST_HOLD_NANOS;
        }
        double factor = Math.pow(LONG_HOLD_FACTOR, strikes - MIN_STRIKES - 1.0);
        return (long) Math.min(MAX_HOLD_NANOS, LONG_HOLD_NANOS * factor);
    }

    long forgetAt() {
        return heldUntil() + MEMORY_NANOS;
    }

    /** Whether a node that has missed reports must be told of the request. */
    boolean concernsOthers() {
        return otherNodesMayHold;
    }

    /** All that this node knows of the request. */
    List<SuspectReport> reports() {
        List<SuspectReport> reports = new ArrayList<>(crashReports());
        if (completed) {
            reports.add(new SuspectReport.Completed(request, completedAt));
        }
        return reports;
    }

    /** A number that differs between nodes that do not know the same crashes; 0 if it is not held back. */
    int checksum() {
        return isHoldDue()
                ? 31 * (31 * request.hashCode() + generation())
                        + crashes.keySet().hashCode()
                : 0;
    }
}

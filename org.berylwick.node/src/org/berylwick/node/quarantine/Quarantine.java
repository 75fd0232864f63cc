package org.berylwick.node.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.berylwick.node.lib.RequestFingerprint;
import org.berylwick.node.lib.SuspectReport;

/**
 * Holds back requests that crash the backend servers that run them; confined to the event loop.
 *
 * <p>A request that was running when a backend server ended is a suspect, and so is everything that ran beside it. If
 * it runs again and that backend server ends, too, it is refused for some seconds; from the third crash on for minutes,
 * and longer with each further one. A suspect that a backend server completes is cleared. Nodes report crashes and
 * completions to each other, so that it does not matter which of them gets the request.
 *
 * <p>Crashes count in succession only: a request that many callers send may be running on several backend servers that
 * end at the same time for another cause.
 */
public final class Quarantine {
    private static final int MAX_SUSPECTS = 512;
    private static final int MAX_LASTING = 32;

    private final LongSupplier nanoTime;
    private final Listener listener;
    private final Map<RequestFingerprint, Suspect> suspects = new HashMap<>();
    private final Set<Integer> uriHashes = new HashSet<>();
    private LongSupplier trialSpreadNanos = () -> 0;
    private DoubleSupplier random = () -> 0;
    private Consumer<SuspectReport> onReport = report -> {};
    private Runnable onLastingHold = () -> {};

    /** Is notified of what changes for callers. */
    public interface Listener {
        /**
         * A request is held back, or for longer than before.
         *
         * @param request the request
         * @param crashes number of crashes in succession
         * @param holdNanos time for which it is held back from now on
         */
        void onHeld(RequestFingerprint request, int crashes, long holdNanos);

        /** A request that was held back has been completed by a backend server. */
        void onCleared(RequestFingerprint request);
    }

    /**
     * @param nanoTime current time, on the scale of {@link System#nanoTime}
     * @param listener is notified of holds
     */
    public Quarantine(LongSupplier nanoTime, Listener listener) {
        this.nanoTime = nanoTime;
        this.listener = listener;
    }

    /** Sets the receiver of reports that originate on this node, to be sent to other nodes. */
    public void setReportListener(Consumer<SuspectReport> listener) {
        onReport = listener;
    }

    /**
     * Makes the entries of a fleet try a request again at different times after its hold, so that the first of them can
     * report a further crash before the next one tries.
     *
     * @param spreadNanos longest delay of an entry after the hold
     * @param newRandom supplies random numbers, uniform in [0, 1)
     */
    public void setTrialSpread(LongSupplier spreadNanos, DoubleSupplier newRandom) {
        trialSpreadNanos = spreadNanos;
        random = newRandom;
    }

    /** Sets what runs when a crash at this node makes a hold so long that it should outlast the loss of all nodes. */
    public void setLastingHoldListener(Runnable listener) {
        onLastingHold = listener;
    }

    /**
     * Time for which a request is still held back, 0 if it may be run.
     *
     * @param uri path and query of the request
     * @param fingerprint computes its fingerprint if the path is that of a suspect
     */
    public long remainingHoldNanos(String uri, Supplier<Optional<RequestFingerprint>> fingerprint) {
        long now = nanoTime.getAsLong();
        return find(uri, fingerprint)
                .map(suspect -> suspect.remainingHoldNanos(now))
                .orElse(0L);
    }

    /**
     * Time for which an entry sends a request to no owner, 0 if it may send it: the hold, and then the delay of this
     * entry and the time since its last trial.
     *
     * @param uri path and query of the request
     * @param fingerprint computes its fingerprint if the path is that of a suspect
     */
    public long untilNextTrialNanos(String uri, Supplier<Optional<RequestFingerprint>> fingerprint) {
        long now = nanoTime.getAsLong();
        return find(uri, fingerprint)
                .map(suspect -> suspect.untilNextTrialNanos(now, trialSpreadNanos.getAsLong()))
                .orElse(0L);
    }

    /** Records that an entry sends a request to an owner. */
    public void onAttemptStarted(String uri, Supplier<Optional<RequestFingerprint>> fingerprint) {
        find(uri, fingerprint).ifPresent(suspect -> suspect.onTrialStarted(nanoTime.getAsLong()));
    }

    /** Time for which a request is still held back, 0 if it may be run. */
    public long remainingHoldNanos(RequestFingerprint request) {
        Suspect suspect = suspects.get(request);
        return suspect == null ? 0 : suspect.remainingHoldNanos(nanoTime.getAsLong());
    }

    /** Number of known crashes of a request in succession, 0 for one that is no suspect. */
    public int generation(RequestFingerprint request) {
        Suspect suspect = suspects.get(request);
        return suspect == null ? 0 : suspect.generation();
    }

    /** Number of known crashes of a request in succession, 0 for one that is no suspect. */
    public int generation(String uri, Supplier<Optional<RequestFingerprint>> fingerprint) {
        return find(uri, fingerprint).map(Suspect::generation).orElse(0);
    }

    private Optional<Suspect> find(String uri, Supplier<Optional<RequestFingerprint>> fingerprint) {
        if (suspects.isEmpty() || !uriHashes.contains(uri.hashCode())) {
            return Optional.empty();
        }
        return fingerprint.get().map(suspects::get);
    }

    /**
     * Records that the backend server of this node has ended while it ran a request.
     *
     * @param request the request
     * @param incarnation the incarnation that ended
     * @param priorGeneration number of crashes of the request that were known when the run began
     * @return the report for other nodes
     */
    public SuspectReport.Crashed onCrashed(RequestFingerprint request, String incarnation, int priorGeneration) {
        SuspectReport.Crashed crash =
                new SuspectReport.Crashed(request, priorGeneration + 1, incarnation.hashCode(), nanoTime.getAsLong());
        merge(crash);
        onReport.accept(crash);
        if (suspectOf(request).isLastingHoldDue()) {
            onLastingHold.run();
        }
        return crash;
    }

    /** Records that the backend server of this node has completed a request, which clears it if it is a suspect. */
    public void onCompleted(String uri, Supplier<Optional<RequestFingerprint>> fingerprint) {
        find(uri, fingerprint).ifPresent(suspect -> onCompleted(suspect.request()));
    }

    /** Records that a backend server has completed a request, which clears it if it is a suspect. */
    public void onCompleted(RequestFingerprint request) {
        if (generation(request) > 0) {
            SuspectReport.Completed completion = new SuspectReport.Completed(request, nanoTime.getAsLong());
            merge(completion);
            onReport.accept(completion);
        }
    }

    /** Adds what this or another node has found. Reports may arrive repeatedly and in any order. */
    public void merge(SuspectReport report) {
        removeForgotten();
        switch (report) {
            case SuspectReport.Crashed crash -> mergeCrash(crash);
            case SuspectReport.Completed completion -> mergeCompletion(completion);
        }
    }

    private void mergeCrash(SuspectReport.Crashed crash) {
        Suspect suspect = suspectOf(crash.request());
        boolean changed = suspect.merge(crash);
        if (changed && suspect.isHoldDue()) {
            listener.onHeld(suspect.request(), suspect.generation(), suspect.heldUntil() - nanoTime.getAsLong());
        }
    }

    private void mergeCompletion(SuspectReport.Completed completion) {
        Suspect suspect = suspectOf(completion.request());
        boolean held = suspect.isHoldDue();
        if (suspect.complete(completion.at()) && held) {
            listener.onCleared(suspect.request());
        }
    }

    private Suspect suspectOf(RequestFingerprint request) {
        uriHashes.add(request.uriHash());
        return suspects.computeIfAbsent(request, r -> new Suspect(r, random.getAsDouble()));
    }

    private void removeForgotten() {
        long now = nanoTime.getAsLong();
        boolean removed = suspects.values().removeIf(suspect -> suspect.forgetAt() - now < 0);
        while (suspects.size() >= MAX_SUSPECTS) {
            suspects.values().stream()
                    .min(Comparator.comparing(Suspect::isHoldDue).thenComparingLong(Suspect::forgetAt))
                    .ifPresent(oldest -> suspects.remove(oldest.request()));
            removed = true;
        }
        if (removed) {
            uriHashes.clear();
            suspects.keySet().forEach(request -> uriHashes.add(request.uriHash()));
        }
    }

    /** Number of requests that are held back now. */
    public int heldCount() {
        long now = nanoTime.getAsLong();
        return (int) suspects.values().stream()
                .filter(suspect -> suspect.remainingHoldNanos(now) > 0)
                .count();
    }

    /** A number that differs between nodes that do not know the same crashes of requests that are held back. */
    public int checksum() {
        int sum = 0;
        for (Suspect suspect : suspects.values()) {
            sum += suspect.checksum();
        }
        return sum;
    }

    /** The crashes of requests that are held back for so long that it should outlast the loss of all nodes. */
    public List<SuspectReport.Crashed> lastingCrashes() {
        return crashesOf(Suspect::isLastingHoldDue, MAX_LASTING);
    }

    /**
     * The crashes of requests that are held back now.
     *
     * @param maxRequests number of requests, those that are held back longest
     */
    public List<SuspectReport.Crashed> heldCrashes(int maxRequests) {
        long now = nanoTime.getAsLong();
        return crashesOf(suspect -> suspect.remainingHoldNanos(now) > 0, maxRequests);
    }

    private List<SuspectReport.Crashed> crashesOf(Predicate<Suspect> filter, int maxRequests) {
        // Asked for at each start, when the classes of streams are not loaded yet.
        if (suspects.isEmpty()) {
            return List.of();
        }
        return suspects.values().stream()
                .filter(filter)
                .sorted(Comparator.comparingLong(Suspect::heldUntil).reversed())
                .limit(maxRequests)
                .flatMap(suspect -> suspect.crashReports().stream())
                .toList();
    }

    /** Everything that a node must know which has missed reports. */
    public List<SuspectReport> snapshot() {
        List<SuspectReport> reports = new ArrayList<>();
        for (Suspect suspect : suspects.values()) {
            if (suspect.concernsOthers()) {
                reports.addAll(suspect.reports());
            }
        }
        return reports;
    }
}

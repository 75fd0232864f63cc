package org.berylwick.internal.routing;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.berylwick.internal.event.CallEvent;
import org.berylwick.internal.event.EventLog;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;
import org.berylwick.lib.TimeSource;

/**
 * What this process knows of each member from the requests that it sent there: how loaded, how quick, how reliable.
 *
 * <p>No health or load endpoint is asked: those lag and mislead, and a request's own fate doesn't. Any thread may use
 * it.
 */
public final class PeerLoads {
    private static final EventLog EVENTS = new EventLog(PeerLoads.class);

    /** Answers needed before a mean time is judged, and between two judgements. */
    private static final int LATENCY_SAMPLES_PER_CHECK = 20;

    private static final int MIN_MEMBERS_TO_COMPARE = 3;
    private static final double SLOW_LATENCY_FACTOR = 5;

    /** A mean this much above the others' is never an outlier: scheduling and distance do that. */
    private static final Duration SLOW_LATENCY_MARGIN = Duration.ofMillis(100);

    private static final Duration MIN_TIMEOUT_COUNTED_AS_FAILURE = Duration.ofMillis(100);

    private final TimeSource time;
    private final Map<String, MemberLoadRecord> recordsByInstance = new ConcurrentHashMap<>();
    private final Set<String> knownServices = ConcurrentHashMap.newKeySet();
    private final Counter ejections;
    private final Counter readmissions;
    private final Supplier<MembershipView> currentView;
    private final LocalLoad localLoad;
    private volatile MembershipView appliedView = MembershipView.EMPTY;

    /**
     * The load of the backend server in the same VM, which needs no report.
     *
     * @param instance the own instance
     * @param load requests there now
     */
    public record LocalLoad(String instance, IntSupplier load) {
        /** Of a process without a backend server. */
        public static final LocalLoad NONE = new LocalLoad("", () -> 0);
    }

    /**
     * Knows nothing yet.
     *
     * @param currentView the view as of now
     */
    public PeerLoads(
            Supplier<MembershipView> currentView, LocalLoad localLoad, TimeSource time, MetricRegistry metrics) {
        this.localLoad = localLoad;
        this.currentView = currentView;
        this.time = time;
        ejections = metrics.counter(ChoiceMetrics.EJECTIONS);
        readmissions = metrics.counter(ChoiceMetrics.RETURNS);
    }

    /** A request goes out; the returned attempt takes in what becomes of it. */
    public Attempt begin(Member member) {
        MemberLoadRecord record = record(member);
        record.beginRequest();
        return new Attempt(record, time.nanoTime());
    }

    /** Requests at a member, as far as known here. */
    public double load(Member member) {
        return record(member).load(time.nanoTime());
    }

    /** One request sent to a member; safe to end more than once. */
    public final class Attempt implements AutoCloseable {
        private final MemberLoadRecord record;
        private final long startedAtNanos;
        private boolean closed;

        private Attempt(MemberLoadRecord record, long startedAtNanos) {
            this.record = record;
            this.startedAtNanos = startedAtNanos;
        }

        /** The reply carried the load at its owner. */
        public void reportLoad(int load) {
            record.reportLoad(load, time.nanoTime());
        }

        /** The answer began; a class whose answers differ widely in time doesn't count for speed. */
        public void responseStarted(boolean comparableLatency) {
            if (record.recordSuccess(time.nanoTime())) {
                readmissions.inc();
                EVENTS.log(
                        CallEvent.MEMBER_RETURNED,
                        record.member().instance(),
                        record.member().service());
            }
            if (comparableLatency
                    && record.recordLatency(time.nanoTime() - startedAtNanos) % LATENCY_SAMPLES_PER_CHECK == 0) {
                ejectIfSlow(record);
            }
        }

        /** The member could not be reached, or answered with an error of its own. */
        public void failed(String detail) {
            record.recordFailure(time.nanoTime()).ifPresent(backoff -> reportEjection(record, backoff, detail));
        }

        /**
         * What became of the request is unknown, as no answer began in time or its connection was lost.
         *
         * <p>Counts as a failure only if the member had a fair time: callers with very short deadlines would otherwise
         * have every member ejected.
         *
         * @param allowedMillis by which the answer had to begin
         */
        public void outcomeUnknown(String detail, long allowedMillis) {
            if (allowedMillis >= MIN_TIMEOUT_COUNTED_AS_FAILURE.toMillis()) {
                failed(detail);
            }
        }

        /** The request is over, its answer's end included. */
        @Override
        public synchronized void close() {
            if (!closed) {
                closed = true;
                record.endRequest();
            }
        }
    }

    /** What is known of a member; a record is made where there is none. */
    MemberLoadRecord record(Member member) {
        MemberLoadRecord known = recordsByInstance.get(member.instance());
        if (known != null && known.isSameStart(member)) {
            return known;
        }
        boolean serviceWasKnown = knownServices.contains(member.service());
        return recordsByInstance.compute(member.instance(), (instance, old) -> {
            // A request that pinned an older view may name an incarnation that was replaced since.
            if (old != null && old.member().incarnation() >= member.incarnation()) {
                return old;
            }
            Optional<Long> appearedAtNanos = serviceWasKnown ? Optional.of(time.nanoTime()) : Optional.empty();
            Optional<IntSupplier> loadIfLocal =
                    localLoad.instance().equals(instance) ? Optional.of(localLoad.load()) : Optional.empty();
            return new MemberLoadRecord(member, appearedAtNanos, loadIfLocal);
        });
    }

    /**
     * Takes over the membership as of now: forgets who is gone, and notes who is new.
     *
     * <p>Members that were there when this process first heard of their service count as warm: it is this process that
     * is new, not they.
     */
    void updateMembers() {
        if (currentView.get() != appliedView) {
            applyCurrentView();
        }
    }

    private synchronized void applyCurrentView() {
        MembershipView view = currentView.get();
        if (view == appliedView) {
            return;
        }
        appliedView = view;
        recordsByInstance.keySet().removeIf(instance -> view.find(instance).isEmpty());
        for (Member m : view.all()) {
            if (m.state() == Member.State.UP) {
                record(m);
            }
        }
        view.all().forEach(m -> knownServices.add(m.service()));
    }

    /** Members that something is known of. */
    int size() {
        return recordsByInstance.size();
    }

    private void ejectIfSlow(MemberLoadRecord candidate) {
        Member m = candidate.member();
        List<Double> otherMeans = recordsByInstance.values().stream()
                .filter(r -> r != candidate
                        && r.member().service().equals(m.service())
                        && r.member().place().region().equals(m.place().region()))
                .flatMap(r -> r.meanLatencyNanos(LATENCY_SAMPLES_PER_CHECK).stream())
                .sorted()
                .toList();
        if (otherMeans.size() < MIN_MEMBERS_TO_COMPARE - 1) {
            return;
        }
        double median = otherMeans.get(otherMeans.size() / 2);
        double mean = candidate.meanLatencyNanos(LATENCY_SAMPLES_PER_CHECK).orElse(0.0);
        if (mean > SLOW_LATENCY_FACTOR * median
                && mean > median + SLOW_LATENCY_MARGIN.toNanos()
                && candidate.ejectionStatus(time.nanoTime()) != EjectionState.Status.EJECTED) {
            String detail =
                    "answers begin after " + Duration.ofNanos((long) mean).toMillis() + " ms, those of others "
                            + "after " + Duration.ofNanos((long) median).toMillis();
            reportEjection(candidate, candidate.eject(time.nanoTime()), detail);
        }
    }

    private void reportEjection(MemberLoadRecord record, Duration backoff, String detail) {
        ejections.inc();
        Member m = record.member();
        EVENTS.log(CallEvent.MEMBER_EJECTED, m.instance(), m.service(), backoff.toMillis(), detail);
    }
}

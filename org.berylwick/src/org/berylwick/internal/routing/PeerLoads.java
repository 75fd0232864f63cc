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
 * Load, latency and failures of each member, as observed by the requests that this process sent to it.
 *
 * <p>No health or load endpoint is queried: their values lag and can be wrong, unlike the outcome of actual requests.
 * Thread-safe.
 */
public final class PeerLoads {
    private static final EventLog EVENTS = new EventLog(PeerLoads.class);

    /** Responses needed before a mean latency is compared with others, and between two comparisons. */
    private static final int LATENCY_SAMPLES_PER_CHECK = 20;

    /** Members with enough responses that a comparison needs, including the compared one. */
    private static final int MIN_MEMBERS_TO_COMPARE = 3;

    /** A mean latency is an outlier only if it exceeds the median of the other members by this factor. */
    private static final double SLOW_LATENCY_FACTOR = 5;

    /**
     * A mean latency is an outlier only if it exceeds the median of the other members by more than this. Scheduling
     * delays and network distance cause smaller differences.
     */
    private static final Duration SLOW_LATENCY_MARGIN = Duration.ofMillis(100);

    /** An unknown outcome counts as a failure only if the member had at least this time to start a response. */
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
     * The load of the backend server in the same VM, which is read directly instead of being reported.
     *
     * @param instance instance of this process
     * @param load returns the current load of the backend server
     */
    public record LocalLoad(String instance, IntSupplier load) {
        /** For a process without a backend server. */
        public static final LocalLoad NONE = new LocalLoad("", () -> 0);
    }

    /**
     * Creates an instance without any records.
     *
     * @param currentView supplies the current membership view
     */
    public PeerLoads(
            Supplier<MembershipView> currentView, LocalLoad localLoad, TimeSource time, MetricRegistry metrics) {
        this.localLoad = localLoad;
        this.currentView = currentView;
        this.time = time;
        ejections = metrics.counter(ChoiceMetrics.EJECTIONS);
        readmissions = metrics.counter(ChoiceMetrics.READMISSIONS);
    }

    /** Records that a request is sent to a member; the returned attempt records its outcome. */
    public Attempt begin(Member member) {
        MemberLoadRecord record = record(member);
        record.beginRequest();
        return new Attempt(record, time.nanoTime());
    }

    /** Estimated number of requests at a member. */
    public double load(Member member) {
        return record(member).load(time.nanoTime());
    }

    /** One request sent to a member; closing it more than once has no effect. */
    public final class Attempt implements AutoCloseable {
        private final MemberLoadRecord record;
        private final long startedAtNanos;
        private boolean closed;

        private Attempt(MemberLoadRecord record, long startedAtNanos) {
            this.record = record;
            this.startedAtNanos = startedAtNanos;
        }

        /** Records the load of the member that its reply carried. */
        public void reportLoad(int load) {
            record.reportLoad(load, time.nanoTime());
        }

        /**
         * Records that the response started, which counts as a success.
         *
         * @param comparableLatency false for traffic classes with widely varying latency, which are not compared
         */
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

        /** Records that the member could not be reached or responded with a server error. */
        public void failed(String detail) {
            record.recordFailure(time.nanoTime()).ifPresent(backoff -> reportEjection(record, backoff, detail));
        }

        /**
         * Records that the outcome is unknown because no response started in time or the connection was lost.
         *
         * <p>Counts as a failure only if the member had enough time to respond. Otherwise callers with very short
         * deadlines would cause every member to be ejected.
         *
         * @param allowedMillis time within which the response had to start
         */
        public void outcomeUnknown(String detail, long allowedMillis) {
            if (allowedMillis >= MIN_TIMEOUT_COUNTED_AS_FAILURE.toMillis()) {
                failed(detail);
            }
        }

        /** Records the end of the request, after the end of its response. */
        @Override
        public synchronized void close() {
            if (!closed) {
                closed = true;
                record.endRequest();
            }
        }
    }

    /** Returns the record of a member; creates one if there is none. */
    MemberLoadRecord record(Member member) {
        MemberLoadRecord known = recordsByInstance.get(member.instance());
        if (known != null && known.isSameStart(member)) {
            return known;
        }
        boolean serviceWasKnown = knownServices.contains(member.service());
        return recordsByInstance.compute(member.instance(), (instance, old) -> {
            // A request that holds an older membership view may refer to an incarnation that has been replaced.
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
     * Applies the current membership view: drops the records of removed members and creates those of new ones.
     *
     * <p>Members that existed when this process first saw their service get full weight at once: this process may be
     * new, but they are not.
     */
    void updateRecords() {
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

    /** Number of members that have a record. */
    int recordCount() {
        return recordsByInstance.size();
    }

    /** Ejects a member whose mean latency is an outlier among the members of its service in its region. */
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
            String detail = "mean time to response in ms: "
                    + Duration.ofNanos((long) mean).toMillis() + ", median of other members: "
                    + Duration.ofNanos((long) median).toMillis();
            reportEjection(candidate, candidate.eject(time.nanoTime()), detail);
        }
    }

    private void reportEjection(MemberLoadRecord record, Duration backoff, String detail) {
        ejections.inc();
        Member m = record.member();
        EVENTS.log(CallEvent.MEMBER_EJECTED, m.instance(), m.service(), backoff.toMillis(), detail);
    }
}

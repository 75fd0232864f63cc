package org.berylwick.internal.limit;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.berylwick.internal.event.CallEvent;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.RefusalReason;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.TrafficClass;

/**
 * Limits the concurrent requests of one backend server to its slots and keeps a short queue of requests that wait for
 * one.
 *
 * <p>Each traffic class that the configuration routes to the service has a guaranteed share of the slots and of the
 * queue, its guarantee. A class that has used up its guarantee may borrow idle slots that are guaranteed to others, but
 * only if it is known to return them within {@link TrafficClassQueue#MAX_HOLD_TIME_TO_BORROW}: a class below its
 * guarantee waits for at most one such request. A free slot goes first to the class that is furthest below its
 * guarantee, then to the most urgent class; within a class to the request that must start first. A request that can't
 * be served in time is refused as soon as that is known.
 *
 * <p>Thread-safe. Futures complete outside the lock, on the thread whose call or task decided about the request.
 */
public final class SlotLimiter {
    private static final EventLog EVENTS = new EventLog(SlotLimiter.class);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private final TimeSource time;
    private final Scheduler scheduler;
    private final SlotMetrics metrics;
    private final Invariants invariants;
    private final Map<TrafficClass, TrafficClassQueue> queuesByClass = new EnumMap<>(TrafficClass.class);
    private final UsableSlots usableSlots;
    private final RequestSpacing spacing = new RequestSpacing();
    private SlotLimits limits;
    private TrafficClassShares slotShares;
    private TrafficClassShares queueShares;
    private int inUse;
    private int waiting;
    private long nextArrivalNumber;
    private Optional<Deadline> scheduledWakeUp = Optional.empty();

    /** Result of a request for a slot. */
    public sealed interface Admission {
        /** A slot is held until the permit is closed. */
        record Admitted(Permit permit) implements Admission {}

        /**
         * No slot is held and the request was not run.
         *
         * @param reason reason to report to the caller
         * @param retryAfterMillis time after which a slot is likely to be free, according to the mean hold time
         */
        record Refused(RefusalReason reason, long retryAfterMillis) implements Admission {}
    }

    /** Holds one slot; only the first call of one of its methods has an effect. */
    public final class Permit implements AutoCloseable {
        private final AtomicBoolean open = new AtomicBoolean(true);
        private final TrafficClass trafficClass;
        private final long acquiredAtNanos;

        private Permit(TrafficClass trafficClass, long acquiredAtNanos) {
            this.trafficClass = trafficClass;
            this.acquiredAtNanos = acquiredAtNanos;
        }

        /** Releases the slot after a request and records the hold time. */
        @Override
        public void close() {
            if (open.compareAndSet(true, false)) {
                release(trafficClass, Optional.of(acquiredAtNanos));
            }
        }

        /** Releases the slot of a request that the backend server shed, and lowers its usable slots temporarily. */
        public void closeAfterShed() {
            if (open.compareAndSet(true, false)) {
                lowerUsableSlots();
                release(trafficClass, Optional.empty());
            }
        }

        /** Releases the slot of a request that was not sent; its hold time is not recorded. */
        public void closeUnused() {
            if (open.compareAndSet(true, false)) {
                release(trafficClass, Optional.empty());
            }
        }
    }

    private record Decision(SlotRequest request, Admission admission) {}

    /** Creates a limiter with all slots free. */
    public SlotLimiter(
            TimeSource time, Scheduler scheduler, MetricRegistry registry, Invariants invariants, SlotLimits limits) {
        this.time = time;
        this.scheduler = scheduler;
        this.invariants = invariants;
        this.limits = limits;
        metrics = new SlotMetrics(registry);
        usableSlots = new UsableSlots(limits.slots());
        for (TrafficClass c : TrafficClass.values()) {
            TrafficClassQueue queue = new TrafficClassQueue(c);
            queuesByClass.put(c, queue);
            metrics.gauge(SlotMetrics.IN_USE + c, queue::inUse);
            metrics.gauge(SlotMetrics.WAITING + c, queue::waiting);
        }
        metrics.gauge(SlotMetrics.DECLARED, usableSlots::declared);
        metrics.gauge(SlotMetrics.USABLE, usableSlots::usable);
        recomputeShares();
    }

    /** Applies new limits; requests that were already admitted keep their slots. */
    public void setLimits(SlotLimits newLimits) {
        List<Decision> decisions = new ArrayList<>();
        synchronized (this) {
            limits = newLimits;
            usableSlots.setDeclared(newLimits.slots());
            recomputeShares();
            refuseUnservable(decisions);
            dispatch(decisions);
        }
        completeAll(decisions);
    }

    /** Applies the rate that the backend server states in a response. */
    public void setRate(StatedRate rate) {
        List<Decision> decisions = new ArrayList<>();
        synchronized (this) {
            if (!spacing.setRate(rate, time.nanoTime())) {
                return;
            }
            EVENTS.log(CallEvent.RATE_STATED, rate);
            refuseUnservable(decisions);
            dispatch(decisions);
        }
        completeAll(decisions);
    }

    /**
     * Requests a slot.
     *
     * @return completes when a slot is granted or refused; cancelling it removes the request from the queue at once
     */
    public CompletableFuture<Admission> acquire(TrafficClass trafficClass, Deadline deadline) {
        List<Decision> decisions = new ArrayList<>(1);
        SlotRequest request;
        synchronized (this) {
            long nowNanos = time.nanoTime();
            TrafficClassQueue queue = queuesByClass.get(trafficClass);
            request = new SlotRequest(
                    trafficClass,
                    deadline,
                    nextArrivalNumber++,
                    nowNanos,
                    queue.meanHoldNanos(),
                    this::removeCancelled);
            raiseUsableSlots(decisions);
            if (deadline.isPast(time)) {
                decisions.add(refuse(request, RefusalCause.EXPIRED));
            } else if (mayAcquire(queue)) {
                decisions.add(admit(request));
            } else {
                enqueue(queue, request, decisions);
            }
        }
        completeAll(decisions);
        return request;
    }

    /** Number of slots in use. */
    public synchronized int inUse() {
        return inUse;
    }

    /**
     * The load of the backend server, as reported to other daemons: requests that hold slots or wait, scaled so that
     * the load equals the declared slots when all usable slots are in use.
     *
     * <p>A backend server that sheds requests holds few of them; without scaling it would look idle and attract more.
     * So would one that accepts a limited rate only; while that leaves no room, it counts as full.
     */
    public synchronized int load() {
        int load = (inUse + waiting) * usableSlots.declared() / usableSlots.usable();
        return spacing.waitNanos(0, time.nanoTime()) > 0 ? Math.max(load, usableSlots.declared() + waiting) : load;
    }

    /** Number of slots in use by one class. */
    public synchronized int inUse(TrafficClass trafficClass) {
        return queuesByClass.get(trafficClass).inUse();
    }

    /** Number of waiting requests. */
    public synchronized int waiting() {
        return waiting;
    }

    /** Number of slots that may currently be used, at most the declared ones. */
    public synchronized int usableSlots() {
        return usableSlots.usable();
    }

    /** Number of slots currently guaranteed to a class. */
    public synchronized int guarantee(TrafficClass trafficClass) {
        return slotShares.guarantee(trafficClass);
    }

    private void enqueue(TrafficClassQueue queue, SlotRequest request, List<Decision> decisions) {
        long nanosUntilLatestStart = request.latestStartAtNanos() - time.nanoTime();
        if (nanosUntilLatestStart
                < Math.max(
                        queue.estimateWaitNanos(
                                queue.countAhead(request), slotShares.guarantee(request.trafficClass())),
                        spacing.waitNanos(waiting, time.nanoTime()))) {
            decisions.add(refuse(request, RefusalCause.TOO_SLOW));
            return;
        }
        if (waiting >= limits.queueLimit()) {
            Optional<SlotRequest> evicted = evictBorrowerFor(queue);
            if (evicted.isEmpty()) {
                decisions.add(refuse(request, RefusalCause.QUEUE_FULL));
                return;
            }
            decisions.add(refuse(evicted.get(), RefusalCause.EVICTED));
        }
        queue.add(request);
        waiting++;
        scheduleWakeUp();
    }

    /** Makes room for a class below its share of the queue by evicting a request of a class above its share. */
    private Optional<SlotRequest> evictBorrowerFor(TrafficClassQueue queue) {
        if (queue.waiting() >= queueShares.guarantee(queue.trafficClass())) {
            return Optional.empty();
        }
        Optional<TrafficClassQueue> mostBorrowed = Optional.empty();
        int maxBorrowed = 0;
        for (TrafficClassQueue q : queuesByClass.values()) {
            int borrowed = q.waiting() - queueShares.guarantee(q.trafficClass());
            if (borrowed > 0 && borrowed >= maxBorrowed) {
                maxBorrowed = borrowed;
                mostBorrowed = Optional.of(q);
            }
        }
        mostBorrowed.ifPresent(q -> waiting--);
        return mostBorrowed.map(TrafficClassQueue::pollLast);
    }

    private boolean mayAcquire(TrafficClassQueue queue) {
        if (inUse >= usableSlots.usable() || spacing.waitNanos(0, time.nanoTime()) > 0) {
            return false;
        }
        int guarantee = slotShares.guarantee(queue.trafficClass());
        if (queue.inUse() < guarantee || queue.mayBorrow()) {
            return true;
        }
        if (guarantee == 0 && queue.inUse() == 0) {
            // With fewer slots than classes some class has no guarantee. Granting it one slot prevents starvation.
            return true;
        }
        int reserved = 0;
        for (TrafficClassQueue q : queuesByClass.values()) {
            reserved += q == queue ? q.inUse() : Math.max(q.inUse(), slotShares.guarantee(q.trafficClass()));
        }
        return reserved < usableSlots.usable();
    }

    private Optional<TrafficClassQueue> nextClassToServe() {
        Optional<TrafficClassQueue> furthestBelowGuarantee = Optional.empty();
        for (TrafficClassQueue q : queuesByClass.values()) {
            if (q.waiting() > 0
                    && q.inUse() < slotShares.guarantee(q.trafficClass())
                    && (furthestBelowGuarantee.isEmpty()
                            || guaranteeUtilization(q) < guaranteeUtilization(furthestBelowGuarantee.get()))) {
                furthestBelowGuarantee = Optional.of(q);
            }
        }
        if (furthestBelowGuarantee.isPresent()) {
            return furthestBelowGuarantee.filter(this::mayAcquire);
        }
        return queuesByClass.values().stream()
                .filter(q -> q.waiting() > 0 && mayAcquire(q))
                .findFirst();
    }

    private double guaranteeUtilization(TrafficClassQueue queue) {
        return (double) queue.inUse() / slotShares.guarantee(queue.trafficClass());
    }

    private void dispatch(List<Decision> decisions) {
        for (Optional<TrafficClassQueue> q = nextClassToServe(); q.isPresent(); q = nextClassToServe()) {
            SlotRequest request = q.get().pollFirst();
            waiting--;
            if (request.latestStartAtNanos() - time.nanoTime() <= 0) {
                decisions.add(refuse(request, RefusalCause.EXPIRED));
                continue;
            }
            metrics.waited(request.trafficClass(), time.nanoTime() - request.arrivedAtNanos());
            decisions.add(admit(request));
        }
        scheduleWakeUp();
    }

    private Decision admit(SlotRequest request) {
        inUse++;
        spacing.onStarted(time.nanoTime());
        queuesByClass.get(request.trafficClass()).acquireSlot();
        metrics.admitted(request.trafficClass());
        int heldByClass = queuesByClass.values().stream()
                .mapToInt(TrafficClassQueue::inUse)
                .sum();
        int heldSlots = inUse;
        invariants.check(
                Invariant.SLOTS_EXACT,
                heldSlots <= limits.slots() && heldByClass == heldSlots,
                () -> heldSlots + " slots in use, sum over classes " + heldByClass + ", declared " + limits.slots());
        return new Decision(request, new Admission.Admitted(new Permit(request.trafficClass(), time.nanoTime())));
    }

    private Decision refuse(SlotRequest request, RefusalCause cause) {
        metrics.refused(request.trafficClass(), cause);
        RefusalReason reason = request.deadline().isPast(time) ? RefusalReason.DEADLINE : RefusalReason.OVERLOADED;
        return new Decision(request, new Admission.Refused(reason, retryAfterMillis(request.trafficClass())));
    }

    private long retryAfterMillis(TrafficClass trafficClass) {
        TrafficClassQueue queue = queuesByClass.get(trafficClass);
        long spacingNanos = spacing.waitNanos(waiting, time.nanoTime());
        if (queue.meanHoldNanos() == 0 && spacingNanos == 0) {
            return DEFAULT_RETRY_AFTER.toMillis();
        }
        long slotNanos = queue.estimateWaitNanos(queue.waiting(), slotShares.guarantee(trafficClass));
        long nanos = Math.max(slotNanos, spacingNanos);
        return Math.clamp(Duration.ofNanos(nanos).toMillis(), 1, MAX_RETRY_AFTER.toMillis());
    }

    private void release(TrafficClass trafficClass, Optional<Long> acquiredAtNanos) {
        List<Decision> decisions = new ArrayList<>(1);
        synchronized (this) {
            TrafficClassQueue queue = queuesByClass.get(trafficClass);
            queue.releaseSlot();
            inUse--;
            acquiredAtNanos.ifPresent(acquiredAt -> queue.recordHoldTime(time.nanoTime() - acquiredAt));
            raiseUsableSlots(decisions);
            dispatch(decisions);
        }
        completeAll(decisions);
    }

    private void lowerUsableSlots() {
        List<Decision> decisions = new ArrayList<>();
        synchronized (this) {
            metrics.shed();
            int before = usableSlots.usable();
            if (usableSlots.lower(time.nanoTime())) {
                EVENTS.log(CallEvent.SLOTS_LOWERED, before, usableSlots.usable(), usableSlots.declared());
                recomputeShares();
                refuseUnservable(decisions);
            }
        }
        completeAll(decisions);
    }

    private void raiseUsableSlots(List<Decision> decisions) {
        if (!usableSlots.raise(time.nanoTime())) {
            return;
        }
        if (usableSlots.usable() == usableSlots.declared()) {
            EVENTS.log(CallEvent.SLOTS_RESTORED, usableSlots.declared());
        }
        recomputeShares();
        dispatch(decisions);
    }

    private void recomputeShares() {
        slotShares = TrafficClassShares.divide(usableSlots.usable(), limits.classes());
        queueShares = TrafficClassShares.divide(limits.queueLimit(), limits.classes());
    }

    private void refuseUnservable(List<Decision> decisions) {
        for (TrafficClassQueue q : queuesByClass.values()) {
            q.removeUnservable(time.nanoTime(), slotShares.guarantee(q.trafficClass()), request -> {
                waiting--;
                boolean expired = request.latestStartAtNanos() - time.nanoTime() <= 0;
                decisions.add(refuse(request, expired ? RefusalCause.EXPIRED : RefusalCause.TOO_SLOW));
            });
        }
    }

    private synchronized void removeCancelled(SlotRequest request) {
        if (queuesByClass.get(request.trafficClass()).remove(request)) {
            waiting--;
            metrics.cancelled(request.trafficClass());
        }
    }

    /**
     * Schedules the next check of the queue, so that a request is refused when its latest start time passes and not
     * only when the next slot is released.
     */
    private void scheduleWakeUp() {
        if (waiting == 0) {
            return;
        }
        Optional<Deadline> earliest = usableSlots.nextRaise();
        long now = time.nanoTime();
        long spacingNanos = spacing.waitNanos(0, now);
        if (spacingNanos > 0) {
            Deadline spaced = new Deadline(now + spacingNanos);
            earliest = Optional.of(earliest.map(spaced::earlier).orElse(spaced));
        }
        for (TrafficClassQueue q : queuesByClass.values()) {
            if (q.waiting() > 0) {
                Deadline latestStart = new Deadline(q.peekFirst().orElseThrow().latestStartAtNanos());
                earliest = Optional.of(earliest.map(latestStart::earlier).orElse(latestStart));
            }
        }
        Deadline wakeUpAt = earliest.orElseThrow();
        if (scheduledWakeUp.isPresent() && scheduledWakeUp.get().atNanos() - wakeUpAt.atNanos() <= 0) {
            return;
        }
        scheduledWakeUp = earliest;
        scheduler.schedule(wakeUpAt, () -> onWakeUp(wakeUpAt));
    }

    private void onWakeUp(Deadline wakeUpAt) {
        List<Decision> decisions = new ArrayList<>();
        synchronized (this) {
            if (scheduledWakeUp.filter(wakeUpAt::equals).isPresent()) {
                scheduledWakeUp = Optional.empty();
            }
            raiseUsableSlots(decisions);
            refuseUnservable(decisions);
            dispatch(decisions);
        }
        completeAll(decisions);
    }

    private void completeAll(List<Decision> decisions) {
        for (Decision d : decisions) {
            boolean completed = d.request().complete(d.admission());
            // The request was cancelled after the decision; its slot would otherwise never be released.
            if (!completed && d.admission() instanceof Admission.Admitted(Permit permit)) {
                permit.closeUnused();
            }
        }
    }
}

package org.berylwick.standin.backend;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;

/** What is wrong with a backend server at the moment, and how often each fault struck; any thread may use it. */
public final class BackendFaults {
    private static final Duration LATE_START_GRACE = Duration.ofSeconds(3);
    private static final Duration NEVER = Duration.ofDays(365);

    private final TimeSource time;
    private final Map<AnswerFault, AtomicLong> next = new EnumMap<>(AnswerFault.class);
    private final Map<AnswerFault, AtomicLong> struck = new EnumMap<>(AnswerFault.class);
    private volatile Health health = Health.TRUE;
    private volatile Optional<Integer> claimedBusy = Optional.empty();
    private volatile Optional<Deadline> lateFrom = Optional.empty();
    private volatile Duration healthLag = Duration.ZERO;
    private volatile Duration lateness = Duration.ofSeconds(1);
    private volatile Duration extraServiceTime = Duration.ZERO;
    private volatile boolean shedding;
    private volatile Optional<String> statedRate = Optional.empty();
    private volatile boolean leaveStated;
    private volatile Deadline drainSeen;

    /** What the health endpoint says. */
    public enum Health {
        /** The truth, as late as the lag. */
        TRUE,
        /** Always well. */
        WELL,
        /** Always ill. */
        ILL,
        /** Nothing: the probe hangs. */
        SILENT
    }

    /** No faults. */
    BackendFaults(TimeSource time) {
        this.time = time;
        drainSeen = Deadline.afterMillis(time, 0);
        for (AnswerFault f : AnswerFault.values()) {
            next.put(f, new AtomicLong());
            struck.put(f, new AtomicLong());
        }
    }

    /** Sets what the health endpoint says, and how long it takes to notice draining. */
    public void setHealth(Health says, Duration lag) {
        health = says;
        healthLag = lag;
    }

    /** Makes the load endpoint claim this many busy slots; empty for the truth. */
    public void setClaimedBusy(Optional<Integer> slots) {
        claimedBusy = slots;
    }

    /** Sheds every request, or stops to. */
    public void setShedding(boolean all) {
        shedding = all;
    }

    /** States in each answer how many requests a second it takes; empty states nothing. */
    public void setStatedRate(Optional<String> perSecond) {
        statedRate = perSecond;
    }

    /** States in each answer that it leaves, or stops to; the health endpoint goes on as before. */
    public void setLeaveStated(boolean stated) {
        leaveStated = stated;
    }

    /** Makes every request take longer. */
    public void setExtraServiceTime(Duration extra) {
        extraServiceTime = extra;
    }

    /** Begins to drain, or takes it back; what runs goes on, and new requests are still run, but counted. */
    public void setDraining(boolean draining) {
        drainSeen = Deadline.after(time, healthLag);
        lateFrom = draining ? Optional.of(Deadline.after(time, healthLag.plus(LATE_START_GRACE))) : Optional.empty();
    }

    /** Counts runs that begin late from now on, or stops to, though the backend server itself does not drain. */
    public void setLeaving(boolean leaving) {
        setDraining(leaving);
        drainSeen = Deadline.after(time, NEVER);
    }

    /** Spoils the next {@code count} answers. */
    public void spoilNext(AnswerFault fault, long count) {
        next.get(fault).set(count);
    }

    /** Sets how late {@link AnswerFault#LATE} answers come. */
    public void setLateness(Duration late) {
        lateness = late;
    }

    /** How often a fault spoilt an answer. */
    public long struck(AnswerFault fault) {
        return struck.get(fault).get();
    }

    /** The fault of the answer at hand, if any. */
    Optional<AnswerFault> takeNext() {
        for (AnswerFault f : AnswerFault.values()) {
            AtomicLong left = next.get(f);
            if (left.get() > 0 && left.getAndDecrement() > 0) {
                return Optional.of(f);
            }
        }
        return Optional.empty();
    }

    /** Notes that a fault spoilt an answer. */
    void countStruck(AnswerFault fault) {
        struck.get(fault).incrementAndGet();
    }

    Health health() {
        return health;
    }

    Optional<Integer> claimedBusy() {
        return claimedBusy;
    }

    Optional<String> statedRate() {
        return statedRate;
    }

    boolean leaveStated() {
        return leaveStated;
    }

    boolean shedding() {
        return shedding;
    }

    Duration lateness() {
        return lateness;
    }

    Duration extraServiceTime() {
        return extraServiceTime;
    }

    /** Whether the health endpoint shows draining by now. */
    boolean drainingShows() {
        return lateFrom.isPresent() && drainSeen.isPast(time);
    }

    /** Whether a run that begins now begins too late after draining began. */
    boolean lateStart() {
        Optional<Deadline> from = lateFrom;
        return from.isPresent() && from.get().isPast(time);
    }
}

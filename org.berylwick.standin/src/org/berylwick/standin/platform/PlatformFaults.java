package org.berylwick.standin.platform;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;

/** Which faults of the platform are in force, and how often each has struck a call; any thread may use it. */
public final class PlatformFaults {
    private final TimeSource time;
    private final AtomicLong outageStruck = new AtomicLong();
    private final AtomicLong slowStruck = new AtomicLong();
    private final AtomicLong lostStruck = new AtomicLong();
    private final AtomicLong staleStruck = new AtomicLong();
    private final AtomicLong loseNext = new AtomicLong();
    private volatile Slowness slowness;
    private volatile Staleness staleness;
    private volatile Deadline outageUntil;
    private volatile boolean loseSilently;
    private volatile Runnable outageListener = () -> {};

    private record Slowness(long minMillis, long maxMillis, Deadline until) {}

    private record Staleness(long revision, Deadline until) {}

    /** How often each kind of fault struck a call. */
    public record Struck(long outage, long slow, long lostAnswers, long staleReads) {}

    /** No faults. */
    PlatformFaults(TimeSource time) {
        this.time = time;
        Deadline past = Deadline.afterMillis(time, 0);
        slowness = new Slowness(0, 0, past);
        staleness = new Staleness(0, past);
        outageUntil = past;
    }

    /** Answers every call with 503 from now on, and ends waiting watches so. */
    public void startOutage(Duration length) {
        outageUntil = Deadline.after(time, length);
        outageListener.run();
    }

    /** Ends the outage now. */
    public void endOutage() {
        outageUntil = Deadline.afterMillis(time, 0);
    }

    /** Delays each call, before it is done, by a random time between the two. */
    public void slowDown(long minMillis, long maxMillis, Duration length) {
        slowness = new Slowness(minMillis, maxMillis, Deadline.after(time, length));
    }

    /**
     * Loses the answers of the next {@code count} writes after they took effect.
     *
     * @param silently whether the caller hears nothing at all rather than that its connection closes
     */
    public void loseAnswers(long count, boolean silently) {
        loseSilently = silently;
        loseNext.set(count);
    }

    /** Serves every read as of {@code revision}, as a replica that lags would. */
    public void serveAsOf(long revision, Duration length) {
        staleness = new Staleness(revision, Deadline.after(time, length));
    }

    /** Ends every fault. */
    public void clear() {
        endOutage();
        Deadline past = Deadline.afterMillis(time, 0);
        slowness = new Slowness(0, 0, past);
        staleness = new Staleness(0, past);
        loseNext.set(0);
    }

    /** How often each kind of fault struck a call. */
    public Struck struck() {
        return new Struck(outageStruck.get(), slowStruck.get(), lostStruck.get(), staleStruck.get());
    }

    /** Registers what is run when an outage starts. */
    void onOutage(Runnable listener) {
        outageListener = listener;
    }

    /** Tells whether the call at hand meets an outage. */
    boolean meetsOutage() {
        if (outageUntil.isPast(time)) {
            return false;
        }
        outageStruck.incrementAndGet();
        return true;
    }

    /** Notes a connection that was refused or cut by an outage. */
    void countOutage() {
        outageStruck.incrementAndGet();
    }

    /** Sleeps as the call at hand must. */
    void delay() throws InterruptedException {
        Slowness slow = slowness;
        if (slow.until.isPast(time)) {
            return;
        }
        slowStruck.incrementAndGet();
        Thread.sleep(ThreadLocalRandom.current().nextLong(slow.minMillis, slow.maxMillis + 1));
    }

    /** Tells whether the answer of the write at hand is to be lost. */
    boolean losesAnswer() {
        if (loseNext.get() <= 0 || loseNext.getAndDecrement() <= 0) {
            return false;
        }
        lostStruck.incrementAndGet();
        return true;
    }

    /** Whether a lost answer leaves its connection open. */
    boolean losesSilently() {
        return loseSilently;
    }

    /** Revision that reads see now, or {@link Long#MAX_VALUE} for the newest. */
    long readRevision() {
        Staleness stale = staleness;
        if (stale.until.isPast(time)) {
            return Long.MAX_VALUE;
        }
        staleStruck.incrementAndGet();
        return stale.revision;
    }

    /** Milliseconds until reads are current again, 0 if they are. */
    long staleMillis() {
        return staleness.until.remainingMillis(time);
    }
}

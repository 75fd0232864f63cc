package org.berylwick.node.call;

import java.util.function.IntSupplier;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.transport.RequestBody;

/**
 * Estimates how long requests wait at an owner until they are sent to its backend server; confined to the event loop.
 */
final class OwnerWaits {
    private final Clock clock;
    private final RequestQueue queue;
    private final RequestBodyScheduler bodyScheduler;
    private final IntSupplier runningCount;

    /**
     * @param clock time source
     * @param queue requests that wait for a slot
     * @param bodyScheduler requests that wait for their bodies
     * @param runningCount supplies the number of running requests
     */
    OwnerWaits(Clock clock, RequestQueue queue, RequestBodyScheduler bodyScheduler, IntSupplier runningCount) {
        this.clock = clock;
        this.queue = queue;
        this.bodyScheduler = bodyScheduler;
        this.runningCount = runningCount;
    }

    /** Whether a slot is free, and the limit that the backend server states allows one more request. */
    boolean canStartNow(Backend server) {
        return runningCount.getAsInt() < server.slots()
                && server.startLimiter().waitNanos(queue.size(), clock.now()) == 0;
    }

    /** Whether a request can meet its latency objective after the requests that would run before it. */
    boolean isTimely(OwnerRun run, Backend server) {
        RequestBody body = run.call().body();
        long startWaitNanos = Math.max(
                untilStartNanos(queue.countTimelyAhead(run), server),
                bodyScheduler.transferNanosAhead(body) + bodyScheduler.transferNanos(body));
        long waitNanos = Math.max(startWaitNanos, run.linkWaitNanos());
        return run.canMeetObjective(clock.now() + waitNanos);
    }

    /** Time until a request is sent that is queued now. */
    long expectedNanos(OwnerRun run, Backend server) {
        int queuedAhead = isTimely(run, server) ? queue.countTimelyAhead(run) : queue.size();
        return untilStartNanos(queuedAhead, server);
    }

    /**
     * Time until a request is sent that has so many queued ones ahead: until a slot is free, and the limit allows it.
     */
    private long untilStartNanos(int queuedAhead, Backend server) {
        OwnerLoad speed = new OwnerLoad(
                0, 0, server.slots(), server.serviceTimeEstimator().meanNanos());
        Slowdown slowdown = server.speed().slowdownAt(clock.now());
        return Math.max(
                slowdown.expectedNanos(speed.waitNanos(runningCount.getAsInt() + queuedAhead)),
                server.startLimiter().waitNanos(queuedAhead, clock.now()));
    }
}

package org.berylwick.node.call;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.berylwick.node.transport.IncomingLink;
import org.berylwick.node.transport.RequestBody;

/**
 * Lets bodies come over this VM's link a few at a time; confined to the event loop.
 *
 * <p>The load it answers is bodies that are large for the link. Without it every entry sends at once: the link holds
 * seconds of bodies, in front of them the heads that would tell of more, and behind them calls that run for 50 ms. The
 * backend server gets nothing to do, looks idle, and is sent still more. So heads come first, without their bodies; an
 * owner refuses at once what would come too late, and asks for the others in the order of their queue.
 */
final class BodyGate {
    /**
     * What is asked for at once, in time over the link: enough that it does not run dry while the next one is asked.
     */
    private static final long MOST_COMING_NANOS = 60_000_000L;

    private final IncomingLink link;
    private final RunQueue waiting = new RunQueue();
    private final Set<OwnerRun> coming = new LinkedHashSet<>();

    /** @param link of this VM */
    BodyGate(IncomingLink link) {
        this.link = link;
    }

    int size() {
        return waiting.size() + coming.size();
    }

    /** How long what was taken before a body still takes over the link. */
    long aheadNanos(RequestBody body) {
        return Math.max(0, link.busyNanos() - link.transferNanos(body.missingBytes()));
    }

    /** How long a body itself takes over the link from when it is asked for. */
    long comingNanos(RequestBody body) {
        return link.transferNanos(body.missingBytes());
    }

    /** Takes a request whose body is still to come. */
    void add(OwnerRun run, boolean timely, long now) {
        if (!run.call().body().isDeferred()) {
            coming.add(run);
            return;
        }
        if (timely) {
            waiting.addTimely(run);
        } else {
            waiting.addLate(run);
        }
        askOn(now);
    }

    /** Asks for more if there is room on the link; called when a part has come. */
    void askOn(long now) {
        while (comingNanos() < MOST_COMING_NANOS) {
            Optional<OwnerRun> next = waiting.poll(now);
            if (next.isEmpty()) {
                return;
            }
            coming.add(next.get());
            next.get().askForBody();
        }
    }

    private long comingNanos() {
        long nanos = 0;
        for (OwnerRun run : coming) {
            nanos += link.transferNanos(run.call().body().missingBytes());
        }
        return nanos;
    }

    /** A body is whole, or its request is over. */
    boolean remove(OwnerRun run, long now) {
        boolean there = coming.remove(run);
        waiting.remove(run);
        askOn(now);
        return there;
    }

    /** Takes out all. */
    List<OwnerRun> drain() {
        List<OwnerRun> all = waiting.drain();
        all.addAll(coming);
        coming.clear();
        return all;
    }
}

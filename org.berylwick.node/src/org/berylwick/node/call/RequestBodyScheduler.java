package org.berylwick.node.call;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.berylwick.node.transport.IncomingLink;
import org.berylwick.node.transport.RequestBody;

/**
 * Limits how many request bodies are transferred over this VM's incoming link at a time; confined to the event loop.
 *
 * <p>It guards against request bodies that are large for the link. If every entry sent its bodies at once, the link
 * would hold seconds of them, preceded by the heads that announce further ones and followed by calls that run for only
 * 50 ms. The backend server would be out of work, look idle and attract still more requests. So entries first send the
 * head alone. The owner refuses at once what would arrive too late, and requests the bodies of the others in the order
 * of its queue.
 */
final class RequestBodyScheduler {
    /**
     * Bodies being received at a time, measured as transfer time over the link: enough to keep the link busy until the
     * next requested body arrives.
     */
    private static final long MAX_RECEIVING_NANOS = 60_000_000L;

    private final IncomingLink link;
    private final RequestQueue deferred = new RequestQueue();
    private final Set<OwnerRun> receiving = new LinkedHashSet<>();

    /** @param link incoming link of this VM */
    RequestBodyScheduler(IncomingLink link) {
        this.link = link;
    }

    int size() {
        return deferred.size() + receiving.size();
    }

    /** Time that the bodies accepted before this one still need on the link. */
    long transferNanosAhead(RequestBody body) {
        return Math.max(0, link.busyNanos() - link.transferNanos(body.missingBytes()));
    }

    /** Time that the rest of a body needs on the link once the body has been requested. */
    long transferNanos(RequestBody body) {
        return link.transferNanos(body.missingBytes());
    }

    /**
     * Adds a request whose body has not arrived completely.
     *
     * @param run the request
     * @param canMeetObjective whether it can still meet its latency objective
     * @param now current time
     */
    void add(OwnerRun run, boolean canMeetObjective, long now) {
        if (!run.call().body().isDeferred()) {
            receiving.add(run);
            return;
        }
        if (canMeetObjective) {
            deferred.addTimely(run);
        } else {
            deferred.addLate(run);
        }
        requestBodies(now);
    }

    /** Requests further bodies while the link has room for them; called when a part of a body has arrived. */
    void requestBodies(long now) {
        while (receivingNanos() < MAX_RECEIVING_NANOS) {
            Optional<OwnerRun> next = deferred.poll(now);
            if (next.isEmpty()) {
                return;
            }
            receiving.add(next.get());
            next.get().requestBodyTransfer();
        }
    }

    private long receivingNanos() {
        long nanos = 0;
        for (OwnerRun run : receiving) {
            nanos += link.transferNanos(run.call().body().missingBytes());
        }
        return nanos;
    }

    /**
     * Removes a request because its body is complete or the request has ended.
     *
     * @return whether its body was being received
     */
    boolean remove(OwnerRun run, long now) {
        boolean wasReceiving = receiving.remove(run);
        deferred.remove(run);
        requestBodies(now);
        return wasReceiving;
    }

    /** Removes all requests and returns them. */
    List<OwnerRun> removeAll() {
        List<OwnerRun> all = deferred.removeAll();
        all.addAll(receiving);
        receiving.clear();
        return all;
    }
}

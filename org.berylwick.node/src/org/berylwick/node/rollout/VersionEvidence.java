package org.berylwick.node.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.ServiceTimeDistribution;
import org.berylwick.node.lib.VersionTally;

/**
 * Counts the responses of the backend server beside this node while a roll-out of its service is under way. Confined to
 * the event loop.
 */
public final class VersionEvidence {
    /** A response is slow if it took this many times the usual median of its class; backend servers differ by two. */
    private static final double SLOW_FACTOR = 3;

    /** Bad responses that are worth a datagram to all nodes before the next regular one. */
    private static final long MIN_UNSENT_BAD = 3;

    private long order = -1;
    private long sentBad;
    private VersionTally tally = VersionTally.NONE;
    private Map<RequestClass, Long> slowFromNanos = Map.of();

    /** Starts to count anew if the order is another one than before. */
    void startOrder(long newOrder) {
        if (newOrder != order) {
            order = newOrder;
            sentBad = 0;
            tally = VersionTally.NONE;
        }
    }

    /**
     * Sets the service times that are usual.
     *
     * @param byServer service times at each backend server of the versions that are not rolled out
     */
    void setUsualTimes(List<List<ServiceTimeDistribution>> byServer) {
        Map<RequestClass, List<Long>> medians = new HashMap<>();
        for (List<ServiceTimeDistribution> times : byServer) {
            times.forEach(time -> medians.computeIfAbsent(time.requestClass(), c -> new ArrayList<>())
                    .add(time.medianNanos()));
        }
        Map<RequestClass, Long> slowFrom = new HashMap<>();
        medians.forEach((requestClass, all) -> {
            Collections.sort(all);
            slowFrom.put(requestClass, (long) (SLOW_FACTOR * all.get(all.size() / 2)));
        });
        slowFromNanos = slowFrom;
    }

    /**
     * Records the end of a request.
     *
     * @param requestClass its class
     * @param nanos time that it took
     * @param failed whether it failed
     */
    public void onResponse(RequestClass requestClass, long nanos, boolean failed) {
        if (order >= 0) {
            tally = tally.plusResponse(failed, nanos > slowFromNanos.getOrDefault(requestClass, Long.MAX_VALUE));
        }
    }

    /** Returns whether other nodes should be told of bad responses without delay. */
    boolean hasUnsentBad() {
        return bad() >= sentBad + MIN_UNSENT_BAD;
    }

    /** Records that other nodes are told of the tally. */
    void onSent() {
        sentBad = bad();
    }

    private long bad() {
        return tally.failures() + tally.slow();
    }

    /** Returns the responses since the order. */
    public VersionTally tally() {
        return tally;
    }
}

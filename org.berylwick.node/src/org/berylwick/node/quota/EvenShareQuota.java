package org.berylwick.node.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.Organisation;

/** Gives each node an even share of each limit, without messages; the alternative that permits are compared with. */
public final class EvenShareQuota implements RequestQuota {
    private final Clock clock;
    private final QuotaFleet fleet;
    private final Map<String, QuotaBucket> buckets = new HashMap<>();

    /**
     * @param clock time source
     * @param fleet what is known of the other nodes
     */
    public EvenShareQuota(Clock clock, QuotaFleet fleet) {
        this.clock = clock;
        this.fleet = fleet;
    }

    @Override
    public void acquire(Organisation organisation, Consumer<Decision> onDecision) {
        if (!organisation.isLimited()) {
            onDecision.accept(new Decision.Granted(Permit.UNLIMITED));
            return;
        }
        long now = clock.now();
        int nodes = Math.max(1, fleet.nodeCount());
        double rate = organisation.ratePerSecond() / nodes;
        double burst = organisation.burst() / nodes;
        QuotaBucket bucket = buckets.computeIfAbsent(organisation.name(), name -> new QuotaBucket(rate, burst, now));
        bucket.setLimit(rate, burst, now);
        if (bucket.take(1, now) == 1) {
            onDecision.accept(new Decision.Granted(() -> bucket.putBack(1, clock.now())));
            return;
        }
        onDecision.accept(new Decision.Refused(Math.max(1, bucket.untilOneNanos(now))));
    }
}

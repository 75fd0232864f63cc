package org.berylwick.internal.routing;

import java.util.ArrayList;
import java.util.List;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;

/**
 * Members by distance, and which share of requests stays near.
 *
 * <p>Requests go on to the next tier before the nearer one is full, the more of them the fuller it is, and only as far
 * as the next one is less full.
 */
final class Tiers {
    /** Part of its slots in use from which a tier passes requests on. */
    static final double SPILL_THRESHOLD = 0.6;

    /** Difference in fullness at which the whole pressure counts; at less, requests would only swap places. */
    private static final double FULL_SPILL_UTILIZATION_GAP = 0.25;

    /** Own availability zone, own region, anywhere else. */
    enum Distance {
        /** Same region and availability zone. */
        ZONE,
        /** Same region. */
        REGION,
        /** Another region. */
        FAR
    }

    /** Members at one distance; never empty. */
    record Tier(Distance distance, List<Member> members, double load, double capacity) {
        double utilization() {
            return load / capacity;
        }
    }

    private Tiers() {}

    static Distance distance(Place own, Place other) {
        if (!own.region().equals(other.region())) {
            return Distance.FAR;
        }
        return own.availabilityZone().equals(other.availabilityZone()) ? Distance.ZONE : Distance.REGION;
    }

    /** Sorts members into tiers, nearest first, without empty ones. */
    static List<Tier> of(Place own, List<Member> members, PeerLoads loads, long nowNanos) {
        List<Tier> tiers = new ArrayList<>(Distance.values().length);
        for (Distance d : Distance.values()) {
            List<Member> at =
                    members.stream().filter(m -> distance(own, m.place()) == d).toList();
            if (!at.isEmpty()) {
                tiers.add(tier(d, at, loads, nowNanos));
            }
        }
        return tiers;
    }

    private static Tier tier(Distance distance, List<Member> members, PeerLoads loads, long nowNanos) {
        double load = 0;
        double capacity = 0;
        for (Member m : members) {
            MemberStats r = loads.stats(m);
            load += r.load(nowNanos);
            capacity += Math.max(1, m.slots()) * r.weight(nowNanos);
        }
        return new Tier(distance, members, load, capacity);
    }

    /** The share of requests that stays in {@code here} with {@code beyond} to go on to. */
    static double keptShare(Tier here, List<Tier> beyond) {
        double load = 0;
        double capacity = 0;
        for (Tier t : beyond) {
            load += t.load;
            capacity += t.capacity;
        }
        if (capacity == 0) {
            return 1;
        }
        double pressure = Math.clamp((here.utilization() - SPILL_THRESHOLD) / (1 - SPILL_THRESHOLD), 0, 1);
        double relief = Math.clamp((here.utilization() - load / capacity) / FULL_SPILL_UTILIZATION_GAP, 0, 1);
        double fairShare = here.capacity / (here.capacity + capacity);
        return 1 - pressure * relief * (1 - fairShare);
    }
}

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

    static Distance distance(Place localPlace, Place other) {
        if (!localPlace.region().equals(other.region())) {
            return Distance.FAR;
        }
        return localPlace.availabilityZone().equals(other.availabilityZone()) ? Distance.ZONE : Distance.REGION;
    }

    /** Sorts members into tiers, nearest first, without empty ones. */
    static List<Tier> of(Place localPlace, List<Member> members, PeerLoads loads, long nowNanos) {
        List<Tier> tiers = new ArrayList<>(Distance.values().length);
        for (Distance d : Distance.values()) {
            List<Member> membersAtDistance = members.stream()
                    .filter(m -> distance(localPlace, m.place()) == d)
                    .toList();
            if (!membersAtDistance.isEmpty()) {
                tiers.add(tier(d, membersAtDistance, loads, nowNanos));
            }
        }
        return tiers;
    }

    private static Tier tier(Distance distance, List<Member> members, PeerLoads loads, long nowNanos) {
        double load = 0;
        double capacity = 0;
        for (Member m : members) {
            MemberLoadRecord loadRecord = loads.record(m);
            load += loadRecord.load(nowNanos);
            capacity += Math.max(1, m.slots()) * loadRecord.weight(nowNanos);
        }
        return new Tier(distance, members, load, capacity);
    }

    /** The share of requests that stays in {@code here} with {@code beyond} to go on to. */
    static double keptShare(Tier nearTier, List<Tier> fartherTiers) {
        double load = 0;
        double capacity = 0;
        for (Tier t : fartherTiers) {
            load += t.load;
            capacity += t.capacity;
        }
        if (capacity == 0) {
            return 1;
        }
        double pressure = Math.clamp((nearTier.utilization() - SPILL_THRESHOLD) / (1 - SPILL_THRESHOLD), 0, 1);
        double utilizationGap =
                Math.clamp((nearTier.utilization() - load / capacity) / FULL_SPILL_UTILIZATION_GAP, 0, 1);
        double fairShare = nearTier.capacity / (nearTier.capacity + capacity);
        return 1 - pressure * utilizationGap * (1 - fairShare);
    }
}

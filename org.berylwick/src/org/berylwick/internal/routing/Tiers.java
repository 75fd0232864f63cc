package org.berylwick.internal.routing;

import java.util.ArrayList;
import java.util.List;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;

/**
 * Groups members by distance and computes which share of requests is kept in a nearer tier.
 *
 * <p>Requests spill over to farther tiers before the nearer one is full. The share that spills over grows with the
 * utilization of the nearer tier and with its difference to the utilization of the farther ones.
 */
final class Tiers {
    /** Utilization above which a tier spills requests over. */
    static final double SPILL_UTILIZATION_THRESHOLD = 0.6;

    /**
     * Difference in utilization at or above which the full spillover applies. Smaller differences reduce it in
     * proportion, because tiers of similar utilization would only exchange requests.
     */
    private static final double FULL_SPILL_UTILIZATION_GAP = 0.25;

    /** Distance of a member from this process. */
    enum Distance {
        /** Same region and availability zone. */
        ZONE,
        /** Same region, another availability zone. */
        REGION,
        /** Another region. */
        FAR
    }

    /** Members at one distance, at least one, with the sums of their loads and of their weighted slots. */
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

    /** Groups members into tiers, nearest first, without empty tiers. */
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
            capacity += Math.max(1, m.slots()) * loadRecord.slowStartFactor(nowNanos);
        }
        return new Tier(distance, members, load, capacity);
    }

    /**
     * Returns the share of requests kept in {@code nearTier}; the rest spills over to {@code fartherTiers}.
     *
     * <p>The spill pressure rises from 0 at the threshold to 1 when the near tier is full. Even then the near tier
     * keeps at least its share of the total capacity.
     */
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
        double spillPressure = Math.clamp(
                (nearTier.utilization() - SPILL_UTILIZATION_THRESHOLD) / (1 - SPILL_UTILIZATION_THRESHOLD), 0, 1);
        double gapFactor = Math.clamp((nearTier.utilization() - load / capacity) / FULL_SPILL_UTILIZATION_GAP, 0, 1);
        double fairShare = nearTier.capacity / (nearTier.capacity + capacity);
        return 1 - spillPressure * gapFactor * (1 - fairShare);
    }
}

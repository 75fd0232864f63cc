package org.berylwick.node.call;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.berylwick.node.lib.LinkLoad;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.member.Member;
import org.berylwick.node.member.MemberTable;

/**
 * Lists some nodes that may run a request: this one, and a few drawn by chance; confined to the event loop.
 *
 * <p>Entries know each other's loads with a delay. If all of them compare all nodes, they take the same one until they
 * hear that it is full, and then the next, while others stand idle. A few drawn by chance differ enough to be worth
 * comparing, and differ from what other entries compare ("How useful is old information?", Mitzenmacher 2000).
 */
public final class CandidateSampler implements CandidateSource {
    /** Drawn from this availability zone, and as many from the others of this region. */
    private static final int SAMPLE_SIZE = 2;
    /** Drawn from other regions. */
    private static final int OTHER_REGION_SAMPLE_SIZE = 1;

    private final String zone;
    private final String region;
    private final Map<String, String> regionOfZone;
    private final MemberTable memberTable;
    private final LongSupplier silenceThresholdNanos;
    private final Owner owner;
    private final DoubleSupplier random;

    /**
     * @param zone of this node
     * @param region of this node
     * @param regionOfZone regions by availability zone
     * @param memberTable other nodes
     * @param silenceThresholdNanos after which without a word a node counts as silent
     * @param owner of the backend server beside this node
     * @param random uniform in [0, 1)
     */
    public CandidateSampler(
            String zone,
            String region,
            Map<String, String> regionOfZone,
            MemberTable memberTable,
            LongSupplier silenceThresholdNanos,
            Owner owner,
            DoubleSupplier random) {
        this.zone = zone;
        this.region = region;
        this.regionOfZone = Map.copyOf(regionOfZone);
        this.memberTable = memberTable;
        this.silenceThresholdNanos = silenceThresholdNanos;
        this.owner = owner;
        this.random = random;
    }

    @Override
    public List<Candidate> candidatesFor(String service, Set<String> excludedKeys, long now) {
        List<Member> sameZone = new ArrayList<>();
        List<Member> sameRegion = new ArrayList<>();
        List<Member> otherRegions = new ArrayList<>();
        List<Member> suspects = new ArrayList<>();
        for (Member member : memberTable.takingWork(service)) {
            if (excludedKeys.contains(member.ip())) {
                continue;
            }
            if (isSuspect(member, now)) {
                suspects.add(member);
                continue;
            }
            switch (distance(member)) {
                case SELF, SAME_ZONE -> sameZone.add(member);
                case SAME_REGION -> sameRegion.add(member);
                case OTHER_REGION -> otherRegions.add(member);
            }
        }
        List<Candidate> candidates = new ArrayList<>(2 * SAMPLE_SIZE + OTHER_REGION_SAMPLE_SIZE + 1);
        if (owner.takesWork(service) && !excludedKeys.contains(Candidate.SELF_KEY)) {
            candidates.add(localCandidate(now));
        }
        int shortfall = sample(sameZone, SAMPLE_SIZE, now, candidates);
        shortfall = sample(sameRegion, SAMPLE_SIZE + shortfall, now, candidates);
        sample(otherRegions, OTHER_REGION_SAMPLE_SIZE + shortfall, now, candidates);
        if (candidates.isEmpty()) {
            sample(suspects, SAMPLE_SIZE, now, candidates);
        }
        return candidates;
    }

    /** Adds so many by chance; returns how many there were too few. */
    private int sample(List<Member> members, int sampleSize, long now, List<Candidate> candidates) {
        int sampledCount = Math.min(sampleSize, members.size());
        for (int i = 0; i < sampledCount; i++) {
            Collections.swap(members, i, i + (int) (random.getAsDouble() * (members.size() - i)));
            candidates.add(remoteCandidate(members.get(i), now));
        }
        return sampleSize - sampledCount;
    }

    private boolean isSuspect(Member member, long now) {
        return member.isSuspect(now) || now - member.heardAt() > silenceThresholdNanos.getAsLong();
    }

    private Candidate localCandidate(long now) {
        OwnerLoad load = owner.load();
        long warmUpNanos = owner.backend().orElseThrow().warmUpNanos(now);
        int pendingRequests = load.running() + load.queued();
        return new Candidate(
                Optional.empty(),
                load,
                owner.times(),
                pendingRequests,
                warmUpNanos,
                LinkLoad.NONE,
                Candidate.Distance.SELF,
                false,
                false);
    }

    private Candidate remoteCandidate(Member member, long now) {
        return new Candidate(
                Optional.of(member),
                member.load(),
                member.state().times(),
                member.expectedAhead(),
                Math.max(0, member.state().warmUpNanos() - (now - member.heardAt())),
                member.link(now),
                distance(member),
                member.isUntried(),
                isSuspect(member, now));
    }

    private Candidate.Distance distance(Member member) {
        String memberZone = member.state().zone();
        if (memberZone.equals(zone)) {
            return Candidate.Distance.SAME_ZONE;
        }
        String memberRegion = regionOfZone.get(memberZone);
        return memberRegion == null || memberRegion.equals(region)
                ? Candidate.Distance.SAME_REGION
                : Candidate.Distance.OTHER_REGION;
    }
}

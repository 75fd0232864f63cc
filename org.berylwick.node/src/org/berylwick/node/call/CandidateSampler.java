package org.berylwick.node.call;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.berylwick.node.lib.LinkLoad;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.member.Member;
import org.berylwick.node.member.MemberTable;

/**
 * Provides the local node and a small random sample of remote nodes as candidates for a request. Confined to the event
 * loop.
 *
 * <p>Nodes learn the loads of others with a delay. If every node compared all others, they would all choose the same
 * one until its load report showed that it was full, then all move on to the next, while others stay idle. A small
 * random sample offers enough choice and differs between the nodes that choose ("How Useful Is Old Information?",
 * Mitzenmacher 2000).
 */
public final class CandidateSampler implements CandidateSource {
    /** Sample size for the availability zone of this node, and again for the other zones of its region. */
    private static final int SAMPLE_SIZE = 2;
    /** Sample size for the other regions. */
    private static final int OTHER_REGION_SAMPLE_SIZE = 1;

    private final String zone;
    private final String region;
    private final Map<String, String> regionOfZone;
    private final MemberTable memberTable;
    private final LongSupplier silenceThresholdNanos;
    private final Owner owner;
    private final VersionChoice versions;
    private final DoubleSupplier random;

    /**
     * @param zone availability zone of this node
     * @param region region of this node
     * @param regionOfZone regions by availability zone
     * @param memberTable the other nodes
     * @param silenceThresholdNanos time without a message after which a node is suspect
     * @param owner owner of the backend server on this VM
     * @param versions which versions a request may go to
     * @param random supplies uniformly distributed numbers in [0, 1)
     */
    public CandidateSampler(
            String zone,
            String region,
            Map<String, String> regionOfZone,
            MemberTable memberTable,
            LongSupplier silenceThresholdNanos,
            Owner owner,
            VersionChoice versions,
            DoubleSupplier random) {
        this.zone = zone;
        this.region = region;
        this.regionOfZone = Map.copyOf(regionOfZone);
        this.memberTable = memberTable;
        this.silenceThresholdNanos = silenceThresholdNanos;
        this.owner = owner;
        this.versions = versions;
        this.random = random;
    }

    @Override
    public List<Candidate> candidatesFor(String service, Set<String> excludedKeys, long now) {
        if (!versions.isActive(service)) {
            return candidatesOf(service, version -> true, excludedKeys, now);
        }
        if (versions.isTrial(service, random.getAsDouble())) {
            List<Candidate> inDoubt = candidatesOf(service, v -> versions.isInDoubt(service, v), excludedKeys, now);
            if (inDoubt.stream().anyMatch(candidate -> candidate.waitNanos() == 0)) {
                return inDoubt;
            }
        }
        return candidatesOf(service, v -> versions.isEstablished(service, v), excludedKeys, now);
    }

    private List<Candidate> candidatesOf(
            String service, Predicate<String> acceptsVersion, Set<String> excludedKeys, long now) {
        List<Member> sameZone = new ArrayList<>();
        List<Member> sameRegion = new ArrayList<>();
        List<Member> otherRegions = new ArrayList<>();
        List<Member> suspects = new ArrayList<>();
        for (Member member : memberTable.acceptingRequests(service)) {
            if (excludedKeys.contains(member.ip())
                    || !acceptsVersion.test(member.state().rollout().softwareVersion())) {
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
        if (owner.acceptsRequestsFor(service)
                && !excludedKeys.contains(Candidate.SELF_KEY)
                && owner.backend()
                        .filter(server -> acceptsVersion.test(server.softwareVersion()))
                        .isPresent()) {
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

    /** Adds a random sample of the members to the candidates; returns by how many the sample fell short of its size. */
    private int sample(List<Member> members, int sampleSize, long now, List<Candidate> candidates) {
        int sampledCount = Math.min(sampleSize, members.size());
        for (int i = 0; i < sampledCount; i++) {
            Collections.swap(members, i, i + (int) (random.getAsDouble() * (members.size() - i)));
            candidates.add(remoteCandidate(members.get(i), now));
        }
        return sampleSize - sampledCount;
    }

    private boolean isSuspect(Member member, long now) {
        return member.isSuspect(now) || now - member.lastDatagramAt() > silenceThresholdNanos.getAsLong();
    }

    private Candidate localCandidate(long now) {
        OwnerLoad load = owner.load();
        long warmUpNanos = owner.backend().orElseThrow().warmUpNanos(now);
        int pendingRequests = load.running() + load.queued();
        return new Candidate(
                Optional.empty(),
                load,
                owner.serviceTimes(),
                pendingRequests,
                load.limitWaitNanos(),
                warmUpNanos,
                LinkLoad.NONE,
                Candidate.Distance.SELF,
                false,
                Slowdown.ofPercent(load.slowdownPercent()),
                false);
    }

    private Candidate remoteCandidate(Member member, long now) {
        return new Candidate(
                Optional.of(member),
                member.load(),
                member.state().serviceTimes(),
                member.estimatedRequestCount(),
                member.limitWaitNanos(now),
                Math.max(0, member.state().warmUpRemainingNanos() - (now - member.lastDatagramAt())),
                member.linkLoad(now),
                distance(member),
                member.isIncarnationUnused(),
                Slowdown.ofPercent(member.slowdownPercent()).after(member.slowdownAgeNanos(now)),
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

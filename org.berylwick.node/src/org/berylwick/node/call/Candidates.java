package org.berylwick.node.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.member.Member;
import org.berylwick.node.member.MemberTable;

/** Lists the nodes that may run a request; confined to the event loop. */
public final class Candidates implements CandidateSource {
    private final String zone;
    private final String region;
    private final Map<String, String> regionOfZone;
    private final MemberTable table;
    private final LongSupplier silentNanos;
    private final Owner owner;

    /**
     * @param zone of this node
     * @param region of this node
     * @param regionOfZone regions by availability zone
     * @param table other nodes
     * @param silentNanos after which without a word a node counts as silent
     * @param owner of the backend server beside this node
     */
    public Candidates(
            String zone,
            String region,
            Map<String, String> regionOfZone,
            MemberTable table,
            LongSupplier silentNanos,
            Owner owner) {
        this.zone = zone;
        this.region = region;
        this.regionOfZone = Map.copyOf(regionOfZone);
        this.table = table;
        this.silentNanos = silentNanos;
        this.owner = owner;
    }

    @Override
    public List<Candidate> of(String service, long now) {
        List<Candidate> found = new ArrayList<>();
        if (owner.takesWork(service)) {
            OwnerLoad load = owner.load();
            long warmUp = owner.backend().orElseThrow().warmUpNanos(now);
            int ahead = load.running() + load.queued();
            found.add(new Candidate(
                    Optional.empty(), load, owner.times(), ahead, warmUp, Candidate.Distance.SELF, false, false));
        }
        long silent = silentNanos.getAsLong();
        for (Member member : table.takingWork(service)) {
            long unheard = now - member.heardAt();
            boolean suspect = member.isSuspect(now) || unheard > silent;
            found.add(new Candidate(
                    Optional.of(member),
                    member.load(),
                    member.state().times(),
                    member.expectedAhead(),
                    Math.max(0, member.state().warmUpNanos() - unheard),
                    distance(member),
                    member.isUntried(),
                    suspect));
        }
        return found;
    }

    private Candidate.Distance distance(Member member) {
        String there = member.state().zone();
        if (there.equals(zone)) {
            return Candidate.Distance.ZONE;
        }
        String other = regionOfZone.get(there);
        return other == null || other.equals(region) ? Candidate.Distance.REGION : Candidate.Distance.FAR;
    }
}

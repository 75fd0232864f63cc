package org.berylwick.node.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.berylwick.node.lib.NodeSettings;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.member.Directory;
import org.berylwick.node.member.Gossip;
import org.berylwick.node.member.Member;
import org.berylwick.node.member.MemberTable;

/** Lists the nodes that may run a request; confined to the event loop. */
public final class Candidates {
    private final NodeSettings settings;
    private final Map<String, String> regionOfZone;
    private final MemberTable table;
    private final Gossip gossip;
    private final Directory directory;
    private final Owner owner;

    /**
     * @param settings of this node
     * @param regionOfZone regions by availability zone
     * @param table other nodes
     * @param gossip tells when a node counts as silent
     * @param directory tells whether the list of nodes was read
     * @param owner of the backend server beside this node
     */
    public Candidates(
            NodeSettings settings,
            Map<String, String> regionOfZone,
            MemberTable table,
            Gossip gossip,
            Directory directory,
            Owner owner) {
        this.settings = settings;
        this.regionOfZone = Map.copyOf(regionOfZone);
        this.table = table;
        this.gossip = gossip;
        this.directory = directory;
        this.owner = owner;
    }

    /** All nodes whose backend server serves a service and takes work. */
    public List<Candidate> of(String service, long now) {
        List<Candidate> found = new ArrayList<>();
        if (owner.takesWork(service)) {
            OwnerLoad load = owner.load();
            long warmUp = owner.backend().orElseThrow().warmUpNanos(now);
            int ahead = load.running() + load.queued();
            found.add(new Candidate(Optional.empty(), load, ahead, warmUp, Candidate.Distance.SELF, false, false));
        }
        long silent = gossip.silentNanos();
        for (Member member : table.takingWork(service)) {
            long unheard = now - member.heardAt();
            boolean suspect = member.isSuspect(now) || unheard > silent;
            found.add(new Candidate(
                    Optional.of(member),
                    member.load(),
                    member.expectedAhead(),
                    Math.max(0, member.state().warmUpNanos() - unheard),
                    distance(member),
                    member.isUntried(),
                    suspect));
        }
        return found;
    }

    /** How many nodes there are, with this one: those that were heard, or those that are listed if these are more. */
    public int nodeCount() {
        return Math.max(table.all().size(), gossip.contactCount()) + 1;
    }

    /** Whether the list of nodes was read in this life. */
    public boolean areListed() {
        return directory.isListed();
    }

    private Candidate.Distance distance(Member member) {
        String zone = member.state().zone();
        if (zone.equals(settings.zone())) {
            return Candidate.Distance.ZONE;
        }
        String region = regionOfZone.get(zone);
        return region == null || region.equals(settings.region()) ? Candidate.Distance.REGION : Candidate.Distance.FAR;
    }
}

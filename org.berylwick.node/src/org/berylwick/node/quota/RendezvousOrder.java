package org.berylwick.node.quota;

import java.util.Collection;
import java.util.Optional;

/** Ranks nodes for an organisation by rendezvous hashing; the loss of a node changes only what it was first for. */
final class RendezvousOrder {
    private RendezvousOrder() {}

    /** Returns the first of some nodes for an organisation. */
    static Optional<String> first(String organisation, Collection<String> nodes) {
        String best = null;
        long bestWeight = 0;
        for (String node : nodes) {
            long weight = weight(organisation, node);
            if (best == null || weight > bestWeight || weight == bestWeight && node.compareTo(best) < 0) {
                best = node;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Mixes the hashes, because String.hashCode of addresses that differ in the last digit hardly differs. */
    private static long weight(String organisation, String node) {
        long mixed = organisation.hashCode() * 0x9E37_79B9_7F4A_7C15L ^ node.hashCode() * 0xC2B2_AE3D_27D4_EB4FL;
        mixed = (mixed ^ mixed >>> 30) * 0xBF58_476D_1CE4_E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D0_49BB_1331_11EBL;
        return mixed ^ mixed >>> 31;
    }
}

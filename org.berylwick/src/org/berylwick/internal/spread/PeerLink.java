package org.berylwick.internal.spread;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.berylwick.internal.membership.MembershipTable.Hashes;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.proto.PeerMessage;
import org.berylwick.transport.PeerStream;

/**
 * What one daemon knows of one stream to a peer; for the spreading duty's thread alone.
 *
 * <p>What is to be sent is kept as names, not as messages: a slow peer makes no queue grow, and gets the latest record
 * of each name once it takes messages again.
 */
final class PeerLink {
    final PeerStream stream;
    final boolean outgoing;
    final long openedAtNanos;
    final Set<String> pendingRecords = new LinkedHashSet<>();
    final Set<String> pendingReports = new LinkedHashSet<>();
    HostPort address;
    Optional<Member> peer = Optional.empty();
    long lastReceivedNanos;
    long nextHeartbeatNanos;
    long peerVersion;
    long advertisedVersion;
    private Hashes lastLocalHashes = new Hashes(0, 0);
    private Hashes lastPeerHashes = new Hashes(0, 0);
    private int stableHeartbeats;

    PeerLink(PeerStream stream, boolean outgoing, HostPort address, long nowNanos) {
        this.stream = stream;
        this.outgoing = outgoing;
        this.address = address;
        this.openedAtNanos = nowNanos;
        this.lastReceivedNanos = nowNanos;
        this.nextHeartbeatNanos = nowNanos;
    }

    boolean isEstablished() {
        return peer.isPresent();
    }

    void send(PeerMessage message) {
        stream.send(message);
    }

    /**
     * Compares tables after a heartbeat.
     *
     * @param requiredStableHeartbeats heartbeats over which both tables must have stood still to count as different
     * @return whether they differ and neither is just changing
     */
    boolean needsSync(Hashes local, Hashes remote, int requiredStableHeartbeats) {
        boolean unchanged = local.equals(lastLocalHashes) && remote.equals(lastPeerHashes);
        boolean first = stableHeartbeats == 0;
        lastLocalHashes = local;
        lastPeerHashes = remote;
        stableHeartbeats = unchanged && !first ? stableHeartbeats + 1 : 1;
        if (local.equals(remote)) {
            return false;
        }
        if (first || stableHeartbeats > requiredStableHeartbeats) {
            stableHeartbeats = 1;
            return true;
        }
        return false;
    }
}

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
 * State of one stream to or from a peer.
 *
 * <p>Pending records and reports are queued as instance names, not as messages. A slow peer therefore cannot make the
 * queue grow without limit, and receives the latest record of each member once it accepts messages again. Not
 * thread-safe; confined to the spread thread.
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
     * Compares the membership table hashes of both ends after a heartbeat.
     *
     * <p>Tables that differ only because changes are still being gossiped converge without a sync. A sync is therefore
     * needed only if the hashes differ on the first heartbeat of the link, or if they differ and neither has changed
     * for several heartbeats.
     *
     * @param local hashes of the local table
     * @param remote hashes of the peer's table
     * @param requiredStableHeartbeats consecutive heartbeats over which both hashes must stay unchanged
     * @return whether the tables must be synchronized
     */
    boolean needsSync(Hashes local, Hashes remote, int requiredStableHeartbeats) {
        boolean unchanged = local.equals(lastLocalHashes) && remote.equals(lastPeerHashes);
        boolean firstComparison = stableHeartbeats == 0;
        lastLocalHashes = local;
        lastPeerHashes = remote;
        stableHeartbeats = unchanged && !firstComparison ? stableHeartbeats + 1 : 1;
        if (local.equals(remote)) {
            return false;
        }
        if (firstComparison || stableHeartbeats > requiredStableHeartbeats) {
            stableHeartbeats = 1;
            return true;
        }
        return false;
    }
}

package org.berylwick.internal.spread;

import java.util.List;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.proto.PeerMessage;
import org.berylwick.transport.PeerStream;

/** What the spreading duty is told by other threads. */
public sealed interface SpreadEvent {
    /** A message came in; the first one on a stream that a peer opened is what makes it known. */
    record MessageReceived(PeerStream stream, PeerMessage message) implements SpreadEvent {}

    /** A stream ended. */
    record StreamClosed(PeerStream stream, String reason) implements SpreadEvent {}

    /** Another version is in force here. */
    record VersionInstalled() implements SpreadEvent {}

    /** Daemons were found in the directory or the settings. */
    record PeersDiscovered(List<HostPort> addresses) implements SpreadEvent {}

    /** A member answered neither this daemon nor others on its behalf. */
    record MemberUnreachable(Member member) implements SpreadEvent {}

    /** A member that was suspected or given up answers. */
    record MemberReachable(Member member) implements SpreadEvent {}
}

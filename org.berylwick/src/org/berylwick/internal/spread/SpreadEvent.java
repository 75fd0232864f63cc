package org.berylwick.internal.spread;

import java.util.List;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.proto.PeerMessage;
import org.berylwick.transport.PeerStream;

/** Events that other threads submit to the spread thread. */
public sealed interface SpreadEvent {
    /** A message was received; the first message on a stream opened by a peer also announces the stream. */
    record MessageReceived(PeerStream stream, PeerMessage message) implements SpreadEvent {}

    /** A stream was closed. */
    record StreamClosed(PeerStream stream, String reason) implements SpreadEvent {}

    /** A new version was installed on this daemon. */
    record VersionInstalled() implements SpreadEvent {}

    /** Addresses of daemons were read from the zone directory or the settings. */
    record PeersDiscovered(List<HostPort> addresses) implements SpreadEvent {}

    /** A member answered neither the direct probe nor the indirect ones. */
    record MemberUnreachable(Member member) implements SpreadEvent {}

    /** A probed member answered. */
    record MemberReachable(Member member) implements SpreadEvent {}
}

package org.berylwick.transport;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.proto.ProbeReply;

/** What a daemon asks of other daemons without waiting for the answer. */
public interface PeerCalls {
    /** Opens a stream; a failure to connect shows as its end. */
    PeerStream open(HostPort address, PeerStream.Listener listener);

    /** Asks the daemon at {@code address} who it is; empty if there is no answer by the deadline. */
    CompletableFuture<Optional<ProbeReply>> probe(HostPort address, Deadline deadline);

    /** Has the daemon at {@code via} ask the one at {@code target}. */
    CompletableFuture<Optional<ProbeReply>> probeThrough(HostPort via, HostPort target, Deadline deadline);
}

package org.berylwick.daemon.duty;

import org.berylwick.internal.version.FirstVersionDecision;
import org.berylwick.lib.Member;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;

/**
 * Keeps a fresh daemon from putting an old version in force: the first one must be the newest that the store, or enough
 * peers in an outage of it, know of. Any thread may use it.
 */
final class FirstVersion {
    private final FirstVersionDecision decision;

    FirstVersion(TimeSource time) {
        decision = new FirstVersionDecision(FirstVersionDecision.Rules.DEFAULT, time);
    }

    synchronized void heardStore(VersionId head) {
        decision.heardStore(head);
    }

    synchronized void heardPeer(Member peer, VersionId inForce) {
        decision.heardPeer(peer.instance(), peer.place(), inForce);
    }

    /** Whether version {@code number} may be the first in force here, by what was heard so far. */
    synchronized boolean mayInstall(long number) {
        return switch (decision.decide(VersionId.NONE)) {
            case FirstVersionDecision.Step.Serve() -> true;
            case FirstVersionDecision.Step.Install(VersionId newest, FirstVersionDecision.Source ignored) ->
                number >= newest.number();
            case FirstVersionDecision.Step.Wait(String ignored) -> false;
        };
    }
}

package org.berylwick.internal.spread;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.ProbeReply;
import org.berylwick.transport.PeerCalls;

/**
 * Probes whether a member still answers, directly and at the same time indirectly through other members.
 *
 * <p>The indirect probes prevent two daemons from suspecting each other when only the network path between them fails.
 */
final class Prober {
    private static final long PROBE_TIMEOUT_MILLIS = 1_500;

    private final PeerCalls calls;
    private final Consumer<SpreadEvent> eventSink;
    private final TimeSource time;
    private final Set<String> inFlight = new HashSet<>();

    Prober(PeerCalls calls, Consumer<SpreadEvent> eventSink, TimeSource time) {
        this.calls = calls;
        this.eventSink = eventSink;
        this.time = time;
    }

    /**
     * Probes a member and reports the outcome as an event; does nothing if a probe of the member is already in flight.
     *
     * @param relays members that probe {@code member} on behalf of this daemon
     */
    void probe(Member member, List<Member> relays) {
        synchronized (inFlight) {
            if (!inFlight.add(member.instance())) {
                return;
            }
        }
        Deadline deadline = Deadline.afterMillis(time, PROBE_TIMEOUT_MILLIS);
        List<CompletableFuture<Optional<ProbeReply>>> probes = new ArrayList<>();
        probes.add(calls.probe(member.address(), deadline));
        relays.forEach(relay -> probes.add(calls.probeThrough(relay.address(), member.address(), deadline)));
        CompletableFuture.allOf(probes.toArray(CompletableFuture[]::new)).whenComplete((done, failure) -> {
            synchronized (inFlight) {
                inFlight.remove(member.instance());
            }
            // The address may have been reassigned to another daemon; only the instance name identifies the member.
            boolean answered = failure == null
                    && probes.stream()
                            .flatMap(p -> p.join().stream())
                            .anyMatch(r -> r.getInstance().equals(member.instance()));
            eventSink.accept(
                    answered ? new SpreadEvent.MemberReachable(member) : new SpreadEvent.MemberUnreachable(member));
        });
    }
}

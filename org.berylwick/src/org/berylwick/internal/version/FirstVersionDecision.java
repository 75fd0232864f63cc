package org.berylwick.internal.version;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Place;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;

/**
 * Decides when a daemon without memory may serve, and on which version.
 *
 * <p>A replaced process knows nothing of the version that its predecessor had in force. If it served the first version
 * that it hears of, a caller could meet an older version than the caller met there before: a peer may lag behind, and
 * in an outage of the store a whole availability zone may, if it was cut off before the others got the newest version.
 * So it learns the newest version first: from the store, or from enough peers in more than one zone.
 *
 * <p>Hears and decides on one thread; reads no clock but the given one and calls nothing.
 */
public final class FirstVersionDecision {
    private final Rules rules;
    private final TimeSource time;
    private final Deadline peersHeardBy;
    private final Map<String, Report> reports = new HashMap<>();
    private Optional<VersionId> storeHead = Optional.empty();

    /**
     * When peers count as enough.
     *
     * @param peers so many at least
     * @param zones in so many availability zones at least; 1 only for a fleet that has one
     * @param listenMillis how long to hear peers, even if enough of them answered before
     */
    public record Rules(int peers, int zones, long listenMillis) {
        /** Three peers in two zones, heard for two seconds. */
        public static final Rules DEFAULT = new Rules(3, 2, 2_000);

        /** @throws IllegalArgumentException if a bound is not positive */
        public Rules {
            if (peers <= 0 || zones <= 0 || listenMillis <= 0) {
                throw new IllegalArgumentException("bounds must be positive");
            }
        }
    }

    /** What a peer told. */
    private record Report(Place place, VersionId version) {}

    /** What to do next. */
    public sealed interface Step {
        /** Serve: the version in force is the newest that can be known of. */
        record Serve() implements Step {}

        /** Put this version in force, then ask again. */
        record Install(VersionId version, Source from) implements Step {}

        /** Hear more first. */
        record Wait(String reason) implements Step {}
    }

    /** Where a version can be had. */
    public sealed interface Source {
        /** From the platform's store. */
        record Store() implements Source {}

        /** From this peer, and maybe others. */
        record Peer(String instance) implements Source {}
    }

    /** Begins to listen now. */
    public FirstVersionDecision(Rules rules, TimeSource time) {
        this.rules = rules;
        this.time = time;
        this.peersHeardBy = Deadline.afterMillis(time, rules.listenMillis());
    }

    /** The store told its head; an older one than it told before counts for nothing. */
    public void heardStore(VersionId head) {
        if (storeHead.isEmpty() || head.isNewerThan(storeHead.get())) {
            storeHead = Optional.of(head);
        }
    }

    /** A peer told which version it has in force; one that has none knows nothing and must not be reported. */
    public void heardPeer(String instance, Place place, VersionId inForce) {
        Report earlier = reports.get(instance);
        if (earlier == null || inForce.isNewerThan(earlier.version())) {
            reports.put(instance, new Report(place, inForce));
        }
    }

    /** Decides on what was heard until now. */
    public Step decide(VersionId inForce) {
        Optional<Map.Entry<String, Report>> newest = newestReport();
        VersionId fromPeers = newest.map(e -> e.getValue().version()).orElse(VersionId.NONE);
        VersionId fromStore = storeHead.orElse(VersionId.NONE);
        // A peer's version was accepted once, so a store that shows less has lost it or answers from a lagging replica.
        if (fromPeers.isNewerThan(fromStore) && fromPeers.isNewerThan(inForce)) {
            return storeHead.isPresent() || peersSuffice()
                    ? new Step.Install(
                            fromPeers, new Source.Peer(newest.orElseThrow().getKey()))
                    : new Step.Wait(lacking());
        }
        if (fromStore.isNewerThan(inForce)) {
            return new Step.Install(fromStore, new Source.Store());
        }
        return storeHead.isPresent() || peersSuffice() ? new Step.Serve() : new Step.Wait(lacking());
    }

    private Optional<Map.Entry<String, Report>> newestReport() {
        return reports.entrySet().stream()
                .max(Comparator.comparingLong((Map.Entry<String, Report> e) ->
                                e.getValue().version().number())
                        .thenComparing(Map.Entry::getKey));
    }

    private boolean peersSuffice() {
        return reports.size() >= rules.peers() && zones(reports.values()) >= rules.zones() && peersHeardBy.isPast(time);
    }

    private static long zones(Collection<Report> heard) {
        return heard.stream().map(Report::place).distinct().count();
    }

    private String lacking() {
        return "the store has not answered, and " + reports.size() + " of " + rules.peers() + " peers in "
                + zones(reports.values()) + " of " + rules.zones() + " availability zones have";
    }
}

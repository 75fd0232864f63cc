package org.berylwick.internal.version;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.VersionEvent;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.lib.Snapshot;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;

/**
 * The version in force in this process.
 *
 * <p>It only ever rises, and it changes by one reference swap after the whole version was checked and compiled, so no
 * request sees part of a version. Any thread may read; installs are serialised.
 */
public final class InstalledVersion implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "installed-version";

    private static final EventLog EVENTS = new EventLog(InstalledVersion.class);
    /** Time within which a version that a peer has is expected to be in force here. */
    private static final long MAX_INSTALL_MILLIS = 11_000;

    private final TimeSource time;
    private final Invariants invariants;
    private final Optional<StoreLineage> lineage;
    private final List<Consumer<InForce>> listeners = new CopyOnWriteArrayList<>();
    private volatile NewerVersion newest;
    private volatile InForce current = new InForce(Snapshot.NONE, Map.of(), new byte[0], 0);

    /**
     * A version in force with what it was made from.
     *
     * @param snapshot what requests pin
     * @param parts its content by digest, to serve to peers and to spare re-reading
     * @param manifestBytes its encoded manifest, empty before the first version
     * @param sinceEpochMillis when it came into force here
     */
    public record InForce(Snapshot snapshot, Map<Digest, byte[]> parts, byte[] manifestBytes, long sinceEpochMillis) {}

    /**
     * A version that a peer has in force.
     *
     * @param countsUntil when it no longer counts, as it can evidently not be installed here
     */
    private record NewerVersion(long number, Deadline countsUntil) {}

    /** What became of an install. */
    public sealed interface Install {
        /** It is in force now. */
        record Installed() implements Install {}

        /** The same or a newer version is in force; nothing changed. */
        record NotNewer() implements Install {}

        /** The content is not a whole, readable version, or a route of it points at nothing; nothing changed. */
        record Damaged(String detail) implements Install {}

        /** The version does not follow the one in force; nothing changed. */
        record Diverged(String detail) implements Install {}

        /** It cannot be seen now whether the version follows the one in force; nothing changed, offer it again. */
        record Unproven(String detail) implements Install {}
    }

    /** Nothing in force yet; what holds of it is counted nowhere. */
    public InstalledVersion(TimeSource time) {
        this(time, new Invariants(new MetricRegistry()), Optional.empty());
    }

    /**
     * Nothing in force yet.
     *
     * @param invariants where what holds of each version in force is counted
     * @param lineage asked whether a version follows the one in force where its manifest cannot tell
     */
    public InstalledVersion(TimeSource time, Invariants invariants, Optional<StoreLineage> lineage) {
        this.time = time;
        this.invariants = invariants;
        this.lineage = lineage;
        newest = new NewerVersion(0, Deadline.afterMillis(time, 0));
    }

    @Override
    public String name() {
        return NAME;
    }

    /** The version in force. */
    public InForce inForce() {
        return current;
    }

    /** The version in force, as requests use it. */
    public Snapshot snapshot() {
        return current.snapshot();
    }

    /** Records that a peer has a version in force that is newer than the one here. */
    public synchronized void onNewerVersionKnown(long number) {
        if (number > newest.number()) {
            newest = new NewerVersion(number, Deadline.afterMillis(time, MAX_INSTALL_MILLIS));
        }
    }

    /** Whether a newer version than the one in force is known to exist, and may still be installed. */
    public boolean isOutdated() {
        NewerVersion known = newest;
        return known.number() > snapshot().id().number() && !known.countsUntil().isPast(time);
    }

    /** Is told of each version after it came into force, on the installing thread. */
    public void addListener(Consumer<InForce> listener) {
        listeners.add(listener);
    }

    /**
     * Puts a version in force if it is newer than the one that is, follows it, and is whole.
     *
     * <p>May read the store if the version is more than {@link Manifest#MAX_ANCESTORS} ahead.
     */
    public synchronized Install install(VersionContent content) {
        VersionId held = current.snapshot().id();
        if (!content.id().isNewerThan(held)) {
            return notNewer(content.id(), held);
        }
        return switch (content.toSnapshot()) {
            case Result.Err<Snapshot, String>(String detail) -> new Install.Damaged(detail);
            case Result.Ok<Snapshot, String>(Snapshot snapshot) -> install(content, snapshot);
        };
    }

    private Install notNewer(VersionId offered, VersionId held) {
        if (offered.number() != held.number() || offered.equals(held)) {
            return new Install.NotNewer();
        }
        return diverged(offered + " is offered, but " + held + " was accepted under its number");
    }

    private Install install(VersionContent content, Snapshot snapshot) {
        Optional<String> dangling = danglingRoute(snapshot);
        if (dangling.isPresent()) {
            return new Install.Damaged(dangling.get());
        }
        VersionId held = current.snapshot().id();
        Optional<Boolean> follows =
                content.manifest().follows(held).or(() -> lineage.flatMap(l -> l.follows(content.id(), held)));
        if (follows.isEmpty()) {
            return new Install.Unproven(content.id() + " is too far ahead of " + held + " to tell that it follows it");
        }
        if (!follows.get()) {
            return diverged(content.id() + " does not follow " + held);
        }
        InForce next = new InForce(snapshot, content.parts(), content.manifestBytes(), time.epochMillis());
        assertHolds(current, next, content.manifest());
        current = next;
        listeners.forEach(l -> l.accept(next));
        return new Install.Installed();
    }

    /**
     * A version that was accepted and is in force here is not in the history that others follow. Following that history
     * would take an accepted version back unseen; staying keeps what callers have, and the event tells operators that
     * the store lost an accepted version.
     */
    private Install diverged(String detail) {
        invariants.check(Invariant.ACCEPTED_STAYS, false, () -> detail);
        EVENTS.log(VersionEvent.DIVERGED, detail);
        return new Install.Diverged(detail);
    }

    private static Optional<String> danglingRoute(Snapshot snapshot) {
        return snapshot.configuration().routes().values().stream()
                .filter(r -> !snapshot.configuration().services().containsKey(r.service()))
                .findFirst()
                .map(r -> "route " + r.name() + " points at service " + r.service() + ", which the version lacks");
    }

    private void assertHolds(InForce before, InForce next, Manifest manifest) {
        Snapshot snapshot = next.snapshot();
        VersionId id = snapshot.id();
        VersionId held = before.snapshot().id();
        invariants.check(
                Invariant.VERSION_NEVER_REVERTS, id.number() > held.number(), () -> id + " would replace " + held);
        Optional<String> dangling = danglingRoute(snapshot);
        invariants.check(Invariant.NO_DANGLING_ROUTE, dangling.isEmpty(), () -> id + ": " + dangling.orElse(""));
        boolean whole = Digest.of(next.manifestBytes()).equals(id.digest())
                && snapshot.configuration().size() == manifest.parts().size();
        invariants.check(Invariant.VERSION_WHOLE, whole, () -> id + " is not what its digest names");
        invariants.check(
                Invariant.ACCEPTED_STAYS,
                manifest.follows(held).orElse(lineage.isPresent()),
                () -> id + " does not follow " + held);
    }

    /**
     * Notes what the store shows as accepted.
     *
     * <p>A head that is behind what was in force before it was read is not followed: the store answered from a lagging
     * replica, or lost what it had accepted.
     *
     * @param before the version in force here before the head was read
     * @return whether the head is one to follow
     */
    public boolean noteHead(VersionId before, VersionId head) {
        boolean behind = before.isNewerThan(head) || (before.number() == head.number() && !before.equals(head));
        if (behind) {
            EVENTS.log(VersionEvent.HEAD_BEHIND, head, before);
        }
        return !behind;
    }
}

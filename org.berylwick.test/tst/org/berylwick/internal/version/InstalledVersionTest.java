package org.berylwick.internal.version;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.berylwick.internal.version.InstalledVersion.Install;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;
import org.berylwick.transport.MemoryStore;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.Precondition;
import org.junit.jupiter.api.Test;

/** Which versions come into force, and which never do. */
class InstalledVersionTest {
    private final Invariants invariants = new Invariants(new MetricRegistry());
    private final InstalledVersion installed = new InstalledVersion(TimeSource.SYSTEM, invariants, Optional.empty());

    private void install(VersionContent content) {
        assertEquals(new Install.Installed(), installed.install(content));
    }

    private long number() {
        return installed.snapshot().id().number();
    }

    @Property(tries = 200, seed = "20261204")
    void versionsInAnyOrderOnlyRaiseWhatIsInForce(@ForAll long seed) {
        List<VersionContent> offered = new ArrayList<>(VersionFixture.chain("a", 12));
        offered.addAll(offered);
        Collections.shuffle(offered, new Random(seed));
        Invariants counted = new Invariants(new MetricRegistry());
        InstalledVersion fresh = new InstalledVersion(TimeSource.SYSTEM, counted, Optional.empty());
        long highest = 0;
        for (VersionContent v : offered) {
            boolean newer = v.id().number() > highest;
            assertEquals(newer ? new Install.Installed() : new Install.NotNewer(), fresh.install(v));
            highest = Math.max(highest, v.id().number());
            assertEquals(highest, fresh.snapshot().id().number());
        }
        for (Invariant i : Invariant.values()) {
            assertEquals(0, counted.breaches(i), i.toString());
        }
        assertTrue(counted.checks(Invariant.VERSION_NEVER_REVERTS) > 0);
    }

    @Property(tries = 300, seed = "20261205")
    void bodyThatWasCorruptedOrCutOnTheWayIsNeverPutTogether(@ForAll long seed) {
        // A peer or the store hands over a version of which one byte flipped or the end is missing, in the
        // manifest or in any part. If any of it came into force, one brand's routes could be gone or another's
        // policy stand in their place.
        Random random = new Random(seed);
        VersionContent whole = VersionFixture.chain("a", 2).getLast();
        Map<Digest, byte[]> parts = new HashMap<>(whole.parts());
        byte[] manifest = whole.manifestBytes();
        if (random.nextInt(3) == 0) {
            manifest = damage(manifest, random);
        } else {
            List<Digest> digests = new ArrayList<>(parts.keySet());
            Collections.sort(digests);
            Digest hit = digests.get(random.nextInt(digests.size()));
            parts.put(hit, damage(parts.get(hit), random));
        }
        assertInstanceOf(Result.Err.class, VersionContent.assemble(whole.id(), manifest, parts));
    }

    private static byte[] damage(byte[] content, Random random) {
        int at = random.nextInt(content.length);
        if (random.nextBoolean()) {
            return Arrays.copyOf(content, at);
        }
        byte[] flipped = content.clone();
        flipped[at] ^= (byte) (1 << random.nextInt(8));
        return flipped;
    }

    @Test
    void versionThatLacksAPartIsNotPutTogether() {
        VersionContent whole = VersionFixture.chain("a", 1).getFirst();
        for (Digest missing : whole.parts().keySet()) {
            Map<Digest, byte[]> parts = new HashMap<>(whole.parts());
            parts.remove(missing);
            assertInstanceOf(Result.Err.class, VersionContent.assemble(whole.id(), whole.manifestBytes(), parts));
        }
    }

    @Test
    void routeThatPointsAtNothingIsRefusedAlsoAtInstall() {
        // Something other than a daemon of this release wrote a version whose digests are all right but whose
        // route names a service that it lacks. A caller would get errors for that route until the next change.
        VersionContent dangling = VersionContent.encodeAfter(
                VersionContent.NONE, VersionFixture.audit("op"), VersionFixture.configuration("plain", "other"));
        assertInstanceOf(Install.Damaged.class, installed.install(dangling));
        assertEquals(0, number());
    }

    @Test
    void partThatStandsUnderAnothersNameIsRefused() {
        VersionContent whole = VersionFixture.chain("a", 1).getFirst();
        Manifest m = whole.manifest();
        Map<String, String> names = new HashMap<>(m.parts());
        names.put("brand/two", names.get("brand/one"));
        Manifest renamed = new Manifest(1, m.previousDigest(), m.ancestors(), m.audit(), new TreeMap<>(names));
        byte[] bytes = ConfigurationCodec.encode(renamed);
        VersionContent content = new VersionContent(new VersionId(1, Digest.of(bytes)), renamed, bytes, whole.parts());
        assertInstanceOf(Install.Damaged.class, installed.install(content));
    }

    @Test
    void versionOfAnotherHistoryIsNotFollowed() {
        // The store is restored from an old copy, and operators go on from there. A daemon that holds a version
        // accepted after the copy was taken is offered newer numbers that were never built on it. Following them
        // would take an accepted change back without anyone saying so.
        List<VersionContent> mine = VersionFixture.chain("mine", 5);
        List<VersionContent> others = VersionFixture.chain("other", 80);
        install(mine.getLast());
        assertInstanceOf(Install.Diverged.class, installed.install(others.get(4)));
        assertInstanceOf(Install.Diverged.class, installed.install(others.get(5)));
        assertInstanceOf(Install.Diverged.class, installed.install(others.get(30)));
        assertInstanceOf(Install.Unproven.class, installed.install(others.get(79)));
        assertEquals(mine.getLast().id(), installed.snapshot().id());
        assertEquals(3, invariants.breaches(Invariant.ACCEPTED_STAYS));
    }

    @Test
    void daemonThatMissedMoreThanAManifestNamesAsksTheStore() {
        // A VM was paused for a night. The newest manifest no longer names the version that the daemon holds,
        // so only the store's history can tell that it follows; without the store the daemon keeps what it has.
        Deadline deadline = Deadline.afterMillis(TimeSource.SYSTEM, 30_000);
        VersionRepository repository = new VersionRepository(new MemoryStore(TimeSource.SYSTEM));
        List<VersionContent> versions = VersionFixture.chain("a", 200);
        VersionContent last = VersionContent.NONE;
        for (VersionContent v : versions) {
            AcceptedHead head = ok(repository.readHead(deadline));
            ok(repository.accept(head, last, v, deadline));
            last = v;
        }
        InstalledVersion paused = new InstalledVersion(
                TimeSource.SYSTEM, invariants, Optional.of(new StoreLineage(repository, TimeSource.SYSTEM)));
        paused.install(versions.get(2));
        assertEquals(new Install.Installed(), paused.install(last));

        InstalledVersion stranger = new InstalledVersion(
                TimeSource.SYSTEM, invariants, Optional.of(new StoreLineage(repository, TimeSource.SYSTEM)));
        stranger.install(VersionFixture.chain("mine", 3).getLast());
        assertInstanceOf(Install.Diverged.class, stranger.install(last));

        install(versions.get(2));
        assertInstanceOf(Install.Unproven.class, installed.install(last));
        assertEquals(3, number());
    }

    @Test
    void headBehindWhatIsInForceIsNotFollowed() {
        List<VersionContent> versions = VersionFixture.chain("a", 3);
        install(versions.get(1));
        VersionId before = installed.snapshot().id();
        assertFalse(installed.noteHead(before, versions.get(0).id()));
        assertFalse(installed.noteHead(before, new VersionId(2, Digest.of(new byte[] {1}))));
        assertTrue(installed.noteHead(before, versions.get(1).id()));
        assertTrue(installed.noteHead(before, versions.get(2).id()));
    }

    @Test
    void headThatTheStoreRestoredIsReadAsOlderByARepository() {
        MemoryStore store = new MemoryStore(TimeSource.SYSTEM);
        VersionRepository repository = new VersionRepository(store);
        Deadline deadline = Deadline.afterMillis(TimeSource.SYSTEM, 10_000);
        List<VersionContent> versions = VersionFixture.chain("a", 2);
        ok(repository.accept(ok(repository.readHead(deadline)), VersionContent.NONE, versions.get(0), deadline));
        ObjectKey headKey = new ObjectKey(VersionRepository.HEAD_PREFIX);
        byte[] old = ok(store.get(headKey, deadline).mapError(Object::toString))
                .orElseThrow()
                .value();
        ok(repository.accept(ok(repository.readHead(deadline)), versions.get(0), versions.get(1), deadline));
        install(versions.get(1));
        ok(store.put(headKey, old, new Precondition.None(), deadline));
        assertFalse(installed.noteHead(
                installed.snapshot().id(), ok(repository.readHead(deadline)).id()));
    }

    private static <T, E> T ok(Result<T, E> result) {
        return switch (result) {
            case Result.Ok<T, E>(T value) -> value;
            case Result.Err<T, E>(E error) -> throw new AssertionError(error.toString());
        };
    }
}

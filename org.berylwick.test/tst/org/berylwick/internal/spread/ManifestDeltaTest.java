package org.berylwick.internal.spread;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.internal.version.Manifest;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Labels;
import org.junit.jupiter.api.Test;

/** Verifies that applying a delta reproduces the later manifest byte for byte, as its digest depends on the bytes. */
class ManifestDeltaTest {
    private static final List<VersionContent> VERSIONS = createVersions();

    private static List<VersionContent> createVersions() {
        List<VersionContent> versions = new ArrayList<>();
        VersionContent last = VersionContent.NONE;
        for (int i = 0; i < 100; i++) {
            TreeMap<String, Brand> brands = new TreeMap<>();
            for (int b = i % 7; b < i % 7 + 3; b++) {
                String name = "b" + b;
                brands.put(name, new Brand(name, List.of("h" + i), Labels.EMPTY, Map.of()));
            }
            Configuration configuration = new Configuration(brands, new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
            last = VersionContent.encodeAfter(last, new AuditEntry("op-" + i, "", "", i, List.of()), configuration);
            versions.add(last);
        }
        return versions;
    }

    private static byte[] reconstruct(Manifest base, Manifest target) {
        return ConfigurationCodec.encode(ManifestDelta.between(base, target).applyTo(base));
    }

    @Property(tries = 300, seed = "20261207")
    void deltaBetweenAnyTwoVersionsReproducesLaterManifest(
            @ForAll @IntRange(max = 99) int a, @ForAll @IntRange(max = 99) int b) {
        VersionContent base = VERSIONS.get(Math.min(a, b));
        VersionContent target = VERSIONS.get(Math.max(a, b));
        assertArrayEquals(target.manifestBytes(), reconstruct(base.manifest(), target.manifest()));
    }

    @Test
    void deltaBetweenUnrelatedHistoriesReproducesTargetManifest() {
        VersionContent other = VersionContent.encode(
                VERSIONS.get(9).id(), new AuditEntry("other", "", "", 0, List.of()), Configuration.EMPTY);
        VersionContent target = VERSIONS.get(50);
        assertArrayEquals(target.manifestBytes(), reconstruct(other.manifest(), target.manifest()));
        assertArrayEquals(other.manifestBytes(), reconstruct(VERSIONS.get(3).manifest(), other.manifest()));
    }

    @Test
    void sharedAncestorsAreOmittedFromDelta() {
        ManifestDelta delta = ManifestDelta.between(
                VERSIONS.get(90).manifest(), VERSIONS.get(91).manifest());
        assertTrue(delta.ancestors().size() == 1 && delta.inherited() == Manifest.MAX_ANCESTORS - 1, delta.toString());
    }
}

package org.berylwick.internal.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Policy;
import org.berylwick.lib.Route;
import org.berylwick.lib.Selector;
import org.berylwick.lib.ServiceSpec;
import org.berylwick.lib.TrafficClass;

/** Small versions that follow one another. */
final class VersionFixture {
    private VersionFixture() {}

    static Configuration configuration(String theme, String declaredService) {
        Brand brand = new Brand("one", List.of("one.example"), Labels.EMPTY, Map.of("x-theme", theme));
        Route route = new Route("all", Labels.EMPTY, Selector.ALL, "/", List.of(), "web", Selector.ALL);
        Policy policy = new Policy(
                "default", 0, Selector.ALL, Selector.ALL, TrafficClass.READ, 1_000, 1, false, Policy.KeyRule.IGNORED);
        ServiceSpec service = new ServiceSpec(declaredService, Labels.EMPTY, 1, 1, 1);
        return new Configuration(
                new TreeMap<>(Map.of("one", brand)),
                new TreeMap<>(Map.of("all", route)),
                new TreeMap<>(Map.of("default", policy)),
                new TreeMap<>(Map.of(declaredService, service)));
    }

    static AuditEntry audit(String operationId) {
        return new AuditEntry(operationId, "ana", "", 0, List.of());
    }

    static VersionContent after(VersionContent base, String theme) {
        return VersionContent.encodeAfter(base, audit("op-" + theme), configuration(theme, "web"));
    }

    /** Versions 1 to {@code count}, each following the one before. */
    static List<VersionContent> chain(String line, int count) {
        List<VersionContent> versions = new ArrayList<>();
        VersionContent last = VersionContent.NONE;
        for (int i = 1; i <= count; i++) {
            last = after(last, line + i);
            versions.add(last);
        }
        return versions;
    }
}

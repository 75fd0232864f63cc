package org.berylwick.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Labels;
import org.berylwick.lib.ServiceSpec;
import org.junit.jupiter.api.Test;

/** Checking documents without a store. */
class ValidateCommandTest {
    private static final String ROUTE_AND_POLICY = """
            [[route]]
            name = "all"
            path = "/"
            service = "web"

            [[policy]]
            name = "default"
            """;

    @Test
    void documentsAloneLackWhatOnlyTheBaseDeclares() {
        ValidateResult.Invalid invalid = assertInstanceOf(
                ValidateResult.Invalid.class,
                new ValidateCommand()
                        .addDocument("routes.toml", ROUTE_AND_POLICY)
                        .call());
        assertEquals("route[all].service", invalid.faults().getFirst().field());
    }

    @Test
    void documentsOnABaseAreMergedWithIt() {
        Brand brand = new Brand("one", List.of("one.example"), Labels.EMPTY, Map.of());
        ServiceSpec service = new ServiceSpec("web", Labels.EMPTY, 12, 110, 48);
        Configuration base = new Configuration(
                new TreeMap<>(Map.of("one", brand)),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(Map.of("web", service)));
        ValidateResult.Valid valid = assertInstanceOf(
                ValidateResult.Valid.class,
                new ValidateCommand()
                        .addDocument("routes.toml", ROUTE_AND_POLICY)
                        .setBase(base)
                        .call());
        assertEquals(2, valid.changes().size());
    }
}

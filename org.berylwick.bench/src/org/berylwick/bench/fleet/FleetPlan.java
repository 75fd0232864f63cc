package org.berylwick.bench.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.berylwick.errors.Fault;
import org.berylwick.internal.toml.TableReader;
import org.berylwick.lib.Place;

/**
 * Which instances run where.
 *
 * @param instances in the order in which they are started
 */
public record FleetPlan(List<Instance> instances) {
    private static final int MAX_INSTANCES = 480;

    /**
     * One backend server with its daemon.
     *
     * @param name unique
     * @param service it answers for
     * @param place where it pretends to run
     */
    public record Instance(String name, String service, Place place) {}

    /** Copies the list. */
    public FleetPlan {
        instances = List.copyOf(instances);
    }

    /** Reads {@code fleet.toml} of an example, spreading each service's instances over the availability zones. */
    public static FleetPlan read(Path file) {
        List<Fault> faults = new ArrayList<>();
        List<Instance> instances = new ArrayList<>();
        TableReader top;
        try {
            top = TableReader.parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8), faults);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        String region = top.requiredString("region");
        List<String> zones = top.strings("availability_zones");
        for (TableReader t : top.children("service")) {
            String service = t.requiredString("name");
            int count = t.integer("instances", 1, MAX_INSTANCES, 1);
            for (int i = 0; i < count; i++) {
                String zone = zones.get(i % zones.size());
                instances.add(new Instance(service + "-" + zone + "-" + (i + 1), service, new Place(region, zone)));
            }
            t.finish();
        }
        top.finish();
        if (!faults.isEmpty()) {
            throw new IllegalArgumentException(faults.toString());
        }
        return new FleetPlan(instances);
    }
}

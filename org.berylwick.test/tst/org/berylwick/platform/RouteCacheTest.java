package org.berylwick.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.Route;
import org.berylwick.node.version.ConfigurationSource.ReadResult;
import org.junit.jupiter.api.Test;

/** Tests that routes taken over from the last configuration are those that the next one contains. */
class RouteCacheTest {
    private static final int VERSIONS = 6;
    private static final String[] HOSTS = {"a.example", "b.example"};

    private static String route(Random random, int number) {
        return "{\"name\":\"r" + number + "\",\"pathPrefix\":\"/p" + number + "/\",\"timeoutS\":" + random.nextInt(9)
                + (random.nextBoolean()
                        ? ",\"service\":\"s1\"}"
                        : ",\"trafficSplit\":[{\"service\":\"s1\",\"weight\":" + random.nextInt(1, 4)
                                + "},{\"service\":\"s2\",\"weight\":1}]}");
    }

    private static byte[] configuration(int version, List<List<String>> routesByHost) {
        StringBuilder text = new StringBuilder("{\"version\":\"" + Integer.toHexString(version)
                + "\",\"services\":[{\"name\":\"s1\"},{\"name\":\"s2\"}],\"virtualHosts\":[");
        for (int i = 0; i < HOSTS.length; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"hostname\":\"" + HOSTS[i] + "\",\"paths\":[")
                    .append(String.join(",", routesByHost.get(i)))
                    .append("]}");
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    private static ConfigurationVersion found(ReadResult result) {
        return assertInstanceOf(ReadResult.Found.class, result).version();
    }

    private static void edit(Random random, List<String> routes, int number) {
        int at = random.nextInt(routes.size());
        switch (random.nextInt(4)) {
            case 0 -> routes.set(at, route(random, number));
            case 1 -> routes.add(at, route(random, number));
            case 2 -> {
                if (routes.size() > 1) {
                    routes.remove(at);
                }
            }
            default -> routes.subList(0, at).clear();
        }
    }

    /** Guards against a route of an earlier configuration that stays although its bytes have changed or are gone. */
    @Property(tries = 500)
    void configurationIsTheSameAsOneDecodedAlone(@ForAll long seed) {
        Random random = new Random(seed);
        int number = 0;
        List<List<String>> routesByHost = List.of(new ArrayList<>(), new ArrayList<>());
        for (List<String> routes : routesByHost) {
            for (int i = 0; i < 8; i++) {
                routes.add(route(random, number++));
            }
        }
        ConfigurationCodec codec = new ConfigurationCodec();
        for (int version = 1; version <= VERSIONS; version++) {
            byte[] source = configuration(version, routesByHost);
            ConfigurationVersion actual = found(codec.decode(source, 1));
            ConfigurationVersion expected = found(new ConfigurationCodec().decode(source, 1));
            assertEquals(version, actual.number());
            assertEquals(expected.routeCount(), actual.routeCount());
            for (String host : HOSTS) {
                for (int i = 0; i < number; i++) {
                    assertEquals(expected.route(host, "/p" + i + "/x"), actual.route(host, "/p" + i + "/x"));
                }
            }
            if (random.nextInt(4) == 0) {
                byte[] damaged = source.clone();
                damaged[random.nextInt(damaged.length)] = '{';
                codec.decode(damaged, 1);
            }
            for (List<String> routes : routesByHost) {
                edit(random, routes, number++);
            }
        }
    }

    @Test
    void unchangedRouteIsNotDecodedAgain() {
        Random random = new Random(1);
        List<String> routes = new ArrayList<>(List.of(route(random, 0), route(random, 1), route(random, 2)));
        ConfigurationCodec codec = new ConfigurationCodec();
        Route before = found(codec.decode(configuration(1, List.of(routes, routes)), 1))
                .route(HOSTS[0], "/p2/x")
                .orElseThrow();
        routes.remove(0);
        Route after = found(codec.decode(configuration(2, List.of(routes, routes)), 1))
                .route(HOSTS[0], "/p2/x")
                .orElseThrow();
        assertSame(before, after);
    }
}

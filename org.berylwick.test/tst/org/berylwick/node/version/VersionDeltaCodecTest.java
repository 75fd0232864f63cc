package org.berylwick.node.version;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class VersionDeltaCodecTest {
    private static final int ROUTE_COUNT = 1_600;

    private static List<String> randomRoutes(Random random) {
        List<String> routes = new ArrayList<>();
        for (int i = 0; i < ROUTE_COUNT; i++) {
            routes.add("{\"name\":\"r-%s\",\"pathPrefix\":\"/%s/\",\"kind\":\"safe\",\"timeoutS\":2.5,\"priority\":2,"
                            .formatted(randomWord(random), randomWord(random))
                    + "\"trafficSplit\":[{\"service\":\"a\",\"weight\":%d}]}".formatted(random.nextInt(100)));
        }
        return routes;
    }

    private static String randomWord(Random random) {
        return Long.toString(random.nextLong(Long.MAX_VALUE), 36).substring(0, 7);
    }

    private static byte[] encode(List<String> routes) {
        return String.join(",", routes).getBytes(StandardCharsets.US_ASCII);
    }

    @Property(tries = 300)
    void arbitraryTargetIsRestored(@ForAll byte[] base, @ForAll byte[] target) {
        byte[] delta = VersionDeltaCodec.encode(base, target);
        assertArrayEquals(target, VersionDeltaCodec.decode(base, delta).orElseThrow());
    }

    @Property(tries = 60)
    void editedVersionIsRestoredFromSmallDelta(@ForAll Random random, @ForAll @IntRange(max = 30) int editCount) {
        List<String> routes = randomRoutes(random);
        byte[] base = encode(routes);
        for (int i = 0; i < editCount; i++) {
            int position = random.nextInt(routes.size());
            switch (random.nextInt(3)) {
                case 0 -> routes.remove(position);
                case 1 -> routes.add(position, routes.get(random.nextInt(routes.size())));
                default -> routes.set(position, routes.get(position).replace("2.5", "3.25"));
            }
        }
        byte[] target = encode(routes);
        byte[] delta = VersionDeltaCodec.encode(base, target);
        assertArrayEquals(target, VersionDeltaCodec.decode(base, delta).orElseThrow());
        assertTrue(delta.length < 40 + 110 * editCount, delta.length + " bytes for " + editCount + " edits");
    }

    @Property(tries = 300)
    void damagedDeltaIsRejected(@ForAll Random random, @ForAll @IntRange(max = 400) int position, @ForAll byte value) {
        byte[] base = new byte[500];
        random.nextBytes(base);
        byte[] target = Arrays.copyOfRange(base, 100, 450);
        target[200] ^= 1;
        byte[] delta = VersionDeltaCodec.encode(base, target);
        delta[position % delta.length] = value;
        Optional<byte[]> decoded = VersionDeltaCodec.decode(base, delta);
        assertTrue(decoded.isEmpty() || Arrays.equals(target, decoded.get()));
        base[300] ^= 1;
        assertTrue(VersionDeltaCodec.decode(base, VersionDeltaCodec.encode(target, target))
                .isEmpty());
    }

    @Property(tries = 500)
    void arbitraryBytesAreRejected(@ForAll byte[] delta) {
        assertTrue(VersionDeltaCodec.decode(new byte[0], delta).isEmpty());
    }

    /**
     * A version of 212,632 bytes takes 25,542 bytes for a node that has no version, and 22 bytes for a node that lacks
     * only the change of one weight.
     */
    @Example
    void weightChangeProducesSmallDelta() {
        List<String> routes = randomRoutes(new Random(1));
        byte[] base = encode(routes);
        routes.set(700, routes.get(700).replace("\"weight\":", "\"weight\":1"));
        byte[] target = encode(routes);
        int fullLength = VersionDeltaCodec.encode(new byte[0], target).length;
        int deltaLength = VersionDeltaCodec.encode(base, target).length;
        assertTrue(fullLength < target.length / 6, target.length + " bytes are sent as " + fullLength);
        assertTrue(deltaLength < 30, deltaLength + " bytes for one change");
    }
}

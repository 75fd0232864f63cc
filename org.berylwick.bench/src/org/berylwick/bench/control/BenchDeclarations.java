package org.berylwick.bench.control;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Declarations of the size that one operator has today, in which one brand, a hundred or everything can change. */
final class BenchDeclarations {
    static final int BRANDS = 200;
    static final int SERVICES = 12;
    private static final int ROUTES_OF_A_SERVICE = 2;

    private BenchDeclarations() {}

    /** Everything, with {@code mark} in each object. */
    static String everything(String mark) {
        StringBuilder text = new StringBuilder(brands(BRANDS, mark));
        for (int s = 0; s < SERVICES; s++) {
            text.append("""

                    [[service]]
                    name = "service-%1$d"
                    labels = { mark = "%2$s" }
                    slots = 12
                    connections = 110
                    """.formatted(s, mark));
            for (int r = 0; r < ROUTES_OF_A_SERVICE; r++) {
                text.append("""

                        [[route]]
                        name = "route-%1$d-%2$d"
                        labels = { kind = "read", mark = "%3$s" }
                        path = "/service-%1$d/%2$d"
                        service = "service-%1$d"
                        """.formatted(s, r, mark));
            }
        }
        return text.append("""

                [[policy]]
                name = "reads"
                routes = "kind = read"
                class = "read"
                timeout = "5s"
                max_attempts = 3
                idempotent = true
                """).toString();
    }

    /** The first {@code count} brands, with {@code mark} in each. */
    static String brands(int count, String mark) {
        return IntStream.range(0, count)
                .mapToObj(i -> """

                        [[brand]]
                        name = "brand-%1$03d"
                        hosts = ["brand-%1$03d.example", "www.brand-%1$03d.example"]
                        labels = { tier = "partner", city = "city-%2$d" }
                        headers = { x-theme = "%3$s" }
                        """.formatted(i, i % 17, mark))
                .collect(Collectors.joining());
    }
}

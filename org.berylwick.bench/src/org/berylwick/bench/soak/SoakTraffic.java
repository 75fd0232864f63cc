package org.berylwick.bench.soak;

import java.util.List;

/** What is declared and asked for in a run; brands, routes, policies and services are Silong's. */
final class SoakTraffic {
    /** The brands that operators change. */
    static final List<Brand> BRANDS = List.of(
            new Brand("poblacion-ads", "poblacion.silong.example", "makati"),
            new Brand("kapitolyo-ads", "kapitolyo.silong.example", "pasig"),
            new Brand("sampaloc-ads", "sampaloc.silong.example", "manila"));

    /** Bytes of one bulk transfer. */
    static final long BULK_BYTES = 1_500_000;

    private SoakTraffic() {}

    /** A brand by name, the host that callers know it by, and its city. */
    record Brand(String name, String host, String city) {
        /** Declares the brand with another theme. */
        String declaration(String theme) {
            return """
                    [[brand]]
                    name = "%s"
                    hosts = ["%s"]
                    labels = { tier = "partner", city = "%s" }
                    headers = { x-theme = "%s" }
                    """.formatted(name, host, city, theme);
        }
    }

    /**
     * A kind of request.
     *
     * @param method of HTTP
     * @param path with query
     * @param timeoutMillis that the caller allows
     * @param weight how often it is sent, compared with others
     */
    enum Kind {
        READ("GET", "/slots/%d", 2_000, 45),
        LOOKUP("GET", "/internal/panels/%d", 500, 15),
        CONFIRMATION("POST", "/placements/%d", 5_000, 15),
        KEYED_CONFIRMATION("POST", "/placements/%d", 5_000, 15),
        CHAIN("GET", "/slots/%d?chain=3", 3_000, 5),
        BULK("GET", "/artwork/%d?bytes=" + BULK_BYTES + "&bytes_per_s=" + BULK_BYTES, 30_000, 5);

        private final String method;
        private final String path;
        private final long timeoutMillis;
        private final int weight;

        Kind(String method, String path, long timeoutMillis, int weight) {
            this.method = method;
            this.path = path;
            this.timeoutMillis = timeoutMillis;
            this.weight = weight;
        }

        String method() {
            return method;
        }

        String path(long number) {
            return path.formatted(number);
        }

        long timeoutMillis() {
            return timeoutMillis;
        }

        boolean idempotent() {
            return "GET".equals(method);
        }

        /** The kind that a number from 0 to 99 stands for. */
        static Kind draw(int percent) {
            int left = percent;
            for (Kind kind : values()) {
                left -= kind.weight;
                if (left < 0) {
                    return kind;
                }
            }
            return READ;
        }
    }
}

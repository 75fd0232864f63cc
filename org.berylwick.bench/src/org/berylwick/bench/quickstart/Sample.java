package org.berylwick.bench.quickstart;

import java.util.List;

/**
 * One request of an example.
 *
 * @param kind of traffic
 * @param method the request method
 * @param host names the brand
 * @param path picks the route
 */
record Sample(String kind, String method, String host, String path) {
    /** One request of each kind of traffic; the first two are of different brands. */
    static List<Sample> ofExample(String name) {
        return switch (name) {
            case "silong" ->
                List.of(
                        new Sample("read", "GET", "poblacion.silong.example", "/slots/makati-12"),
                        new Sample("confirmation", "POST", "kapitolyo.silong.example", "/placements"),
                        new Sample("bulk", "GET", "crews.silong.example", "/artwork/dawn-run"),
                        new Sample("lookup", "GET", "sampaloc.silong.example", "/internal/panels/7"));
            case "fumee-claire" ->
                List.of(
                        new Sample("read", "GET", "thies.fumeeclaire.example", "/tiles/8/120/98"),
                        new Sample("order", "POST", "ferlo.fumeeclaire.example", "/subscriptions"),
                        new Sample("bulk", "GET", "casamance.fumeeclaire.example", "/archives/2026-11"),
                        new Sample("lookup", "GET", "thies.fumeeclaire.example", "/internal/tile-index/8"));
            default -> throw new IllegalArgumentException("no example is named " + name);
        };
    }
}

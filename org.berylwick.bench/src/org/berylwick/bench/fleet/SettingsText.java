package org.berylwick.bench.fleet;

/** The settings document of one daemon on loopback with free ports. */
final class SettingsText {
    private SettingsText() {}

    /**
     * Writes the document.
     *
     * @param more TOML tables that are appended
     */
    static String of(FleetPlan.Instance i, DaemonLinks links, String more) {
        String advertised =
                links.advertised().map(a -> "advertised = \"" + a + "\"").orElse("");
        return """
                instance = "%s"
                region = "%s"
                availability_zone = "%s"

                [listen]
                callers = "127.0.0.1:0"
                peers = "127.0.0.1:0"
                admin = "127.0.0.1:0"
                %s

                [backend_server]
                service = "%s"
                address = "%s"
                labels = { zone = "%s" }

                [platform]
                uri = "http://%s"

                %s
                """.formatted(
                        i.name(),
                        i.place().region(),
                        i.place().availabilityZone(),
                        advertised,
                        i.service(),
                        links.backend(),
                        i.place().availabilityZone(),
                        links.platform(),
                        more);
    }
}

package org.berylwick.bench.fleet;

import org.berylwick.lib.HostPort;

/** The settings document of one daemon on loopback with free ports. */
final class SettingsText {
    private SettingsText() {}

    /**
     * Writes the document.
     *
     * @param backend where its backend server listens, or a relay to it
     * @param platform where the platform's stand-in listens, or a relay to it
     * @param more TOML tables that are appended
     */
    static String of(FleetPlan.Instance i, HostPort backend, HostPort platform, String more) {
        return """
                instance = "%s"
                region = "%s"
                availability_zone = "%s"

                [listen]
                callers = "127.0.0.1:0"
                peers = "127.0.0.1:0"
                admin = "127.0.0.1:0"

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
                        i.service(),
                        backend,
                        i.place().availabilityZone(),
                        platform,
                        more);
    }
}

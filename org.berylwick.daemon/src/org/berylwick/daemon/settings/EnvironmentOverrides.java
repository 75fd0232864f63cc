package org.berylwick.daemon.settings;

import java.util.Map;
import java.util.TreeMap;
import org.berylwick.internal.toml.TableReader;

/** The settings that differ from VM to VM and that the environment may therefore give in place of the settings file. */
public final class EnvironmentOverrides {
    /** Environment variables by the path of the key that each replaces. */
    public static final Map<String, String> VARIABLES = Map.of(
            "instance", "BERYLWICK_INSTANCE",
            "region", "BERYLWICK_REGION",
            "availability_zone", "BERYLWICK_AVAILABILITY_ZONE",
            "listen.callers", "BERYLWICK_LISTEN_CALLERS",
            "listen.peers", "BERYLWICK_LISTEN_PEERS",
            "listen.admin", "BERYLWICK_LISTEN_ADMIN",
            "listen.advertised", "BERYLWICK_LISTEN_ADVERTISED",
            "backend_server.address", "BERYLWICK_BACKEND_SERVER_ADDRESS",
            "platform.uri", "BERYLWICK_PLATFORM_URI");

    private EnvironmentOverrides() {}

    static Map<String, TableReader.Replacement> from(Map<String, String> environment) {
        Map<String, TableReader.Replacement> overrides = new TreeMap<>();
        VARIABLES.forEach((key, variable) -> {
            String value = environment.get(variable);
            if (value != null) {
                overrides.put(key, new TableReader.Replacement(variable, value));
            }
        });
        return overrides;
    }
}

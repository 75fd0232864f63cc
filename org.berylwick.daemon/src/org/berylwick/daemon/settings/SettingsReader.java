package org.berylwick.daemon.settings;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.berylwick.daemon.settings.DaemonSettings.Admin;
import org.berylwick.daemon.settings.DaemonSettings.BackendServer;
import org.berylwick.daemon.settings.DaemonSettings.Listen;
import org.berylwick.daemon.settings.DaemonSettings.Platform;
import org.berylwick.daemon.settings.DaemonSettings.Spread;
import org.berylwick.errors.Fault;
import org.berylwick.internal.toml.TableReader;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Place;
import org.berylwick.lib.Result;

/** Reads the daemon's settings and reports every fault at once. */
public final class SettingsReader {
    private SettingsReader() {}

    /**
     * Reads a settings document without looking at the environment.
     *
     * @param document its name, for faults
     */
    public static Result<DaemonSettings, List<Fault>> read(String document, String text) {
        return read(document, text, Map.of());
    }

    /**
     * Reads a settings document.
     *
     * @param document its name, for faults
     * @param environment the variables of {@link EnvironmentOverrides} go before the document
     */
    public static Result<DaemonSettings, List<Fault>> read(
            String document, String text, Map<String, String> environment) {
        List<Fault> faults = new ArrayList<>();
        TableReader top = TableReader.parse(document, text, faults, EnvironmentOverrides.from(environment));
        String instance = top.requiredString("instance");
        Place place = new Place(top.requiredString("region"), top.requiredString("availability_zone"));
        Listen listen = readListen(top.child("listen"));
        BackendServer server = readBackendServer(top.child("backend_server"));
        Platform platform = readPlatform(top.child("platform"));
        Spread spread = SpreadSettingsReader.read(top.child("spread"));
        Admin admin = AdminSettingsReader.read(top.child("admin"), environment);
        top.finish();
        if (!faults.isEmpty()) {
            return Result.err(faults);
        }
        return Result.ok(new DaemonSettings(instance, place, listen, server, platform, spread, admin));
    }

    private static Listen readListen(TableReader t) {
        Listen listen = new Listen(
                address(t, "callers", "127.0.0.1:8080"),
                address(t, "peers", "127.0.0.1:8081"),
                address(t, "admin", "127.0.0.1:8082"),
                t.parsed("advertised", HostPort::fromString));
        t.finish();
        return listen;
    }

    private static HostPort address(TableReader t, String key, String absent) {
        return t.parsed(key, HostPort::fromString).orElseGet(() -> HostPort.fromString(absent));
    }

    private static BackendServer readBackendServer(TableReader t) {
        String service = t.requiredString("service");
        if (!t.has("address")) {
            t.fault("address", "is missing");
        }
        BackendServer server =
                new BackendServer(service, address(t, "address", "127.0.0.1:9000"), new Labels(t.stringMap("labels")));
        t.finish();
        return server;
    }

    private static Platform readPlatform(TableReader t) {
        if (!t.has("uri")) {
            t.fault("uri", "is missing");
        }
        URI uri = t.parsed("uri", SettingsReader::httpUri).orElse(URI.create("http://127.0.0.1:1"));
        t.finish();
        return new Platform(uri);
    }

    private static URI httpUri(String text) {
        URI uri = URI.create(text);
        if (!"http".equals(uri.getScheme()) || uri.getHost() == null) {
            throw new IllegalArgumentException("must be like http://host:port");
        }
        return uri;
    }
}

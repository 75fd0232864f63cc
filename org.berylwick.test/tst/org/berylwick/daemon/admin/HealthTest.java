package org.berylwick.daemon.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.net.URI;
import java.util.Optional;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Member;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;
import org.berylwick.testing.AdminFixture;
import org.berylwick.transport.HttpPlatformStore;
import org.junit.jupiter.api.Test;

/** Liveness and readiness are separate questions, and neither is the store's to answer. */
class HealthTest {
    private static AggregatedHttpResponse get(AdminFixture daemon, String path) {
        return WebClient.of("http://" + daemon.address()).get(path).aggregate().join();
    }

    private static int status(AdminFixture daemon, String path) {
        return get(daemon, path).status().code();
    }

    private static void install(InstalledVersion installed) {
        AuditEntry audit = new AuditEntry("op", "ops", "", 1, java.util.List.of());
        installed.install(VersionContent.encode(VersionId.NONE, audit, Configuration.EMPTY));
    }

    @Test
    void daemonWithoutAVersionIsAliveAndNotReady() {
        try (AdminFixture daemon = new AdminFixture()) {
            assertEquals(200, status(daemon, "/health/live"));
            AggregatedHttpResponse ready = get(daemon, "/health/ready");
            assertEquals(503, ready.status().code());
            assertTrue(ready.contentUtf8().contains("no configuration version"), ready.contentUtf8());
        }
    }

    @Test
    void daemonCutOffFromTheStoreIsAliveAndReady() {
        // Nothing listens where the store should be, so every call to it fails, for good. The daemon holds a
        // version from before; a load balancer that asks must go on sending callers to it.
        HttpPlatformStore nowhere = new HttpPlatformStore(URI.create("http://127.0.0.1:1"), TimeSource.SYSTEM);
        try (AdminFixture daemon = new AdminFixture(nowhere, Optional.empty(), "127.0.0.1", 1 << 20)) {
            install(daemon.installed());
            assertEquals(200, status(daemon, "/health/live"));
            assertEquals(200, status(daemon, "/health/ready"));
        }
    }

    @Test
    void leavingDaemonIsAliveAndNotReady() {
        // While a daemon drains, which may take as long as an archive transfer, a supervisor that took it for
        // dead would kill it and cut the transfer; a load balancer must stop sending callers all the same.
        try (AdminFixture daemon = new AdminFixture()) {
            install(daemon.installed());
            daemon.self().setState(Member.State.LEAVING);
            assertEquals(200, status(daemon, "/health/live"));
            assertEquals(503, status(daemon, "/health/ready"));
        }
    }

    @Test
    void metricsAreOneJsonDocument() {
        try (AdminFixture daemon = new AdminFixture()) {
            String json = get(daemon, "/metrics").contentUtf8();
            assertTrue(json.contains("\"" + AdminMetricNames.HEAP_USED + "\""), json);
            assertTrue(
                    ConfigurationCodec.decode(json.getBytes(java.nio.charset.StandardCharsets.UTF_8), Object.class)
                            instanceof org.berylwick.lib.Result.Ok,
                    json);
        }
    }
}

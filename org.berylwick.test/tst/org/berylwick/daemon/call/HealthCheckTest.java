package org.berylwick.daemon.call;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.berylwick.daemon.call.CallPathCluster.TestDaemon;
import org.berylwick.daemon.duty.BackendServerProbe;
import org.berylwick.daemon.duty.SelfAnnouncement;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.internal.spread.SpreadTuning;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;
import org.berylwick.lib.TimeSource;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Health checks of a backend server in trouble. */
@Timeout(60)
class HealthCheckTest {
    private static final String HEALTHY = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

    private final RawServer server = new RawServer();
    private final CallPathCluster cluster = new CallPathCluster(TestConfiguration.TOML);
    private final TestDaemon daemon = cluster.addMember("a", "web", server.address());
    private final SelfAnnouncement self =
            new SelfAnnouncement(settings(server.address()), daemon.installed, TimeSource.SYSTEM);
    private final BackendServerProbe probe = new BackendServerProbe(server.address(), daemon.installed, self);

    private static DaemonSettings settings(HostPort backend) {
        HostPort ephemeralAddress = new HostPort("127.0.0.1", 0);
        return new DaemonSettings(
                "a",
                new Place("ncr", "makati"),
                new DaemonSettings.Listen(ephemeralAddress, ephemeralAddress, ephemeralAddress, Optional.empty()),
                new DaemonSettings.BackendServer("web", backend, new Labels(Map.of())),
                new DaemonSettings.Platform(URI.create("http://127.0.0.1:1")),
                new DaemonSettings.Spread(DaemonSettings.SpreadMode.WATCH, SpreadTuning.DEFAULT, 0, List.of()),
                new DaemonSettings.Admin(Optional.empty(), 1));
    }

    @AfterEach
    void close() {
        probe.close();
        cluster.close();
        server.close();
    }

    private void answer(String response) {
        server.setScript((connection, request) -> connection.write(response));
    }

    private void awaitChecks(int count) {
        int target = server.requests().size() + count;
        Await.until(count + " health checks", () -> server.requests().size() >= target, self::state);
    }

    /** Guards against a backend server that is taken for ready, or for leaving, by a head that is none in HTTP. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nx pad: 1\r\ncontent-length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nx-pad : 1\r\ncontent-length: 0\r\n\r\n",
                "HTTP/1.1 000 OK\r\ncontent-length: 0\r\n\r\n",
                "HTTP/1.1 2000 OK\r\ncontent-length: 0\r\n\r\n"
            })
    void invalidHeadIsNoHealth(String response) {
        answer(response);
        probe.start();
        awaitChecks(4);
        assertEquals(Member.State.STARTING, self.state());
        answer(HEALTHY);
        Await.until("ready", () -> self.state() == Member.State.UP, self::state);
        answer(response.replace(" 200 OK", " 503 Draining"));
        awaitChecks(4);
        assertEquals(Member.State.UP, self.state());
    }

    /** The end of the connection may end the body of the response to a health check, as it is not used. */
    @Test
    void closeDelimitedResponseIsHealth() {
        server.setScript((connection, request) -> {
            connection.write("HTTP/1.1 200 OK\r\n\r\nhealthy");
            connection.close();
        });
        probe.start();
        Await.until("ready", () -> self.state() == Member.State.UP, self::state);
    }
}

package org.berylwick.daemon.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.linecorp.armeria.client.grpc.GrpcClients;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.berylwick.bench.fleet.ChildProcess;
import org.berylwick.bench.fleet.FleetPlan.Instance;
import org.berylwick.bench.fleet.LocalFleet;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;
import org.berylwick.proto.AdminGrpc;
import org.berylwick.proto.SetDrainRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a drain that an operator was told is done outlasts the daemon's process. */
@Timeout(120)
class DrainKillTest {
    private static final Pattern LISTENING = Pattern.compile("listening callers=\\S+ peers=\\S+ admin=([^\\s\"]+)");
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final long OBSERVED_MILLIS = 5_000;
    private static final String DECLARATIONS = """
            [[service]]
            name = "bookings"
            """;
    private static final String SETTINGS = """
            instance = "b-2"
            region = "ncr"
            availability_zone = "makati"

            [listen]
            callers = "127.0.0.1:0"
            peers = "127.0.0.1:0"
            admin = "127.0.0.1:0"

            [backend_server]
            service = "bookings"
            address = "%s"

            [platform]
            uri = "http://%s"
            """;

    @TempDir
    Path directory;

    private ChildProcess start(LocalFleet fleet) throws IOException {
        Path settings = directory.resolve("b-2.toml");
        Files.writeString(
                settings,
                SETTINGS.formatted(
                        fleet.backend("b-2").address(), fleet.platform().address()));
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+PerfDisableSharedMem",
                "-Xmx128m",
                "-cp",
                System.getProperty("java.class.path"),
                "org.berylwick.daemon.Main",
                "--settings",
                settings.toString());
        return ChildProcess.start("b-2", Map.of(), command);
    }

    private static Optional<Member> drained(LocalFleet fleet) {
        return fleet.daemon("b-1")
                .service(MembershipTable.NAME, MembershipTable.class)
                .view()
                .find("b-2");
    }

    /** Guards against requests to a drained backend server after its daemon has crashed. */
    @Test
    void drainOutlastsACrashOfTheDaemon() throws Exception {
        try (LocalFleet fleet = new LocalFleet()) {
            fleet.add(new Instance("b-1", "bookings", new Place("ncr", "quezon")));
            fleet.addBackend("b-2");
            fleet.awaitAllUp(fleet.apply(DECLARATIONS));
            ChildProcess daemon = start(fleet);
            try {
                String admin = daemon.awaitLine(LISTENING, START_TIMEOUT).group(1);
                LocalFleet.await(
                        "the daemon is up",
                        () -> drained(fleet)
                                .filter(m -> m.state() == Member.State.UP)
                                .isPresent());
                GrpcClients.builder("gproto+h2c://" + admin)
                        .build(AdminGrpc.AdminBlockingStub.class)
                        .setDrain(SetDrainRequest.newBuilder().setDrain(true).build());
                long incarnation = drained(fleet).orElseThrow().incarnation();
                daemon.process().destroyForcibly().waitFor();
                daemon = start(fleet);
                daemon.awaitLine(LISTENING, START_TIMEOUT);
                LocalFleet.await(
                        "the record of the new process",
                        () -> drained(fleet)
                                .filter(m -> m.incarnation() > incarnation)
                                .isPresent());
                assertEquals(EnumSet.noneOf(Member.State.class), statesThatTakeRequests(fleet));
            } finally {
                daemon.process().destroyForcibly();
            }
        }
    }

    private static Set<Member.State> statesThatTakeRequests(LocalFleet fleet) throws InterruptedException {
        Set<Member.State> seen = EnumSet.noneOf(Member.State.class);
        long until = System.nanoTime() + OBSERVED_MILLIS * 1_000_000;
        while (System.nanoTime() < until) {
            drained(fleet).map(Member::state).filter(s -> s == Member.State.UP).ifPresent(seen::add);
            Thread.sleep(20);
        }
        return seen;
    }
}

package org.berylwick.daemon.admin;

import static org.junit.jupiter.api.Assertions.assertFalse;

import com.linecorp.armeria.client.grpc.GrpcClients;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import org.berylwick.bench.fleet.FleetPlan.Instance;
import org.berylwick.bench.fleet.LocalFleet;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;
import org.berylwick.proto.AdminGrpc;
import org.berylwick.proto.SetDrainRequest;
import org.berylwick.testing.DaemonProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a drain that an operator was told is done outlasts the daemon's process. */
@Timeout(120)
class DrainKillTest {
    private static final long OBSERVED_MILLIS = 5_000;
    private static final String DECLARATIONS = """
            [[service]]
            name = "bookings"
            """;

    @TempDir
    Path directory;

    private DaemonProcess start(LocalFleet fleet) throws IOException {
        return DaemonProcess.start(
                directory,
                "b-2",
                "bookings",
                fleet.backend("b-2").address(),
                fleet.platform().address());
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
            long incarnation = drainAndKill(fleet);
            try (DaemonProcess restarted = start(fleet)) {
                restarted.adminAddress();
                LocalFleet.await(
                        "the record of the new process",
                        () -> drained(fleet)
                                .filter(m -> m.incarnation() > incarnation)
                                .isPresent());
                assertFalse(isUpMeanwhile(fleet));
            }
        }
    }

    /** Returns the incarnation of the process that confirmed the drain. */
    private long drainAndKill(LocalFleet fleet) throws IOException, InterruptedException {
        try (DaemonProcess daemon = start(fleet)) {
            String admin = daemon.adminAddress();
            LocalFleet.await(
                    "the daemon is up",
                    () -> drained(fleet)
                            .filter(m -> m.state() == Member.State.UP)
                            .isPresent());
            GrpcClients.builder("gproto+h2c://" + admin)
                    .build(AdminGrpc.AdminBlockingStub.class)
                    .setDrain(SetDrainRequest.newBuilder().setDrain(true).build());
            long incarnation = drained(fleet).orElseThrow().incarnation();
            daemon.kill();
            return incarnation;
        }
    }

    /** Whether the other daemon offers requests to the drained backend server within some time. */
    private static boolean isUpMeanwhile(LocalFleet fleet) throws InterruptedException {
        long until = System.nanoTime() + OBSERVED_MILLIS * 1_000_000;
        while (System.nanoTime() < until) {
            if (drained(fleet).orElseThrow().state() == Member.State.UP) {
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }
}

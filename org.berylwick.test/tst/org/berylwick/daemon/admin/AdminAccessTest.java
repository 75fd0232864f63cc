package org.berylwick.daemon.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.util.Optional;
import org.berylwick.daemon.settings.AdminToken;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.AdminGrpc.AdminBlockingStub;
import org.berylwick.proto.ApplyReply;
import org.berylwick.proto.ApplyRequest;
import org.berylwick.proto.Document;
import org.berylwick.proto.GetStatusRequest;
import org.berylwick.proto.RollbackRequest;
import org.berylwick.proto.SetDrainRequest;
import org.berylwick.testing.AdminFixture;
import org.berylwick.transport.MemoryStore;
import org.junit.jupiter.api.Test;

/** Who may change something, and how much they may send. */
class AdminAccessTest {
    private static final String SECRET = "a-secret-of-many-letters";
    private static final int LIMIT = 4_096;

    private static AdminFixture fixture(Optional<String> token, String host) {
        return new AdminFixture(new MemoryStore(TimeSource.SYSTEM), token.map(AdminToken::of), host, LIMIT);
    }

    private static ApplyRequest apply(String text) {
        return ApplyRequest.newBuilder()
                .addDocuments(Document.newBuilder().setName("t.toml").setText(text))
                .build();
    }

    private static Status.Code refusal(Runnable call) {
        return assertThrows(StatusRuntimeException.class, call::run).getStatus().getCode();
    }

    @Test
    void everyChangingCallNeedsTheToken() {
        // A caller without the token, or with another one, is answered "unauthenticated" before the daemon
        // looks at what was sent; nothing is accepted and the daemon keeps taking requests.
        try (AdminFixture daemon = fixture(Optional.of(SECRET), "127.0.0.1")) {
            for (AdminBlockingStub client : new AdminBlockingStub[] {
                daemon.client(), daemon.client("Bearer " + SECRET + "x"), daemon.client(SECRET)
            }) {
                assertEquals(Status.Code.UNAUTHENTICATED, refusal(() -> client.apply(apply(AdminFixture.WHOLE))));
                assertEquals(
                        Status.Code.UNAUTHENTICATED,
                        refusal(() -> client.rollback(
                                RollbackRequest.newBuilder().setToVersion(1).build())));
                assertEquals(
                        Status.Code.UNAUTHENTICATED,
                        refusal(() -> client.setDrain(
                                SetDrainRequest.newBuilder().setDrain(true).build())));
            }
            assertEquals(
                    0,
                    daemon.client()
                            .getStatus(GetStatusRequest.getDefaultInstance())
                            .getNewestVersion());
            assertEquals(
                    9, daemon.metrics().meter(AdminMetricNames.UNAUTHENTICATED).getCount());
        }
    }

    @Test
    void tokenLetsAChangeThrough() {
        try (AdminFixture daemon = fixture(Optional.of(SECRET), "127.0.0.1")) {
            ApplyReply reply = daemon.client("Bearer " + SECRET).apply(apply(AdminFixture.WHOLE));
            assertEquals(1, reply.getAccepted().getVersion());
        }
    }

    @Test
    void withoutAConfiguredTokenOnlyLoopbackMayChange() {
        // An operator forgot the token on an address that the network reaches: reading works, changing is
        // refused with the reason, since anyone who reaches the port could change every brand otherwise.
        try (AdminFixture open = fixture(Optional.empty(), "0.0.0.0");
                AdminFixture local = fixture(Optional.empty(), "127.0.0.1")) {
            StatusRuntimeException e = assertThrows(
                    StatusRuntimeException.class, () -> open.client().apply(apply(AdminFixture.WHOLE)));
            assertEquals(Status.Code.UNAUTHENTICATED, e.getStatus().getCode());
            assertTrue(e.getMessage().contains("no token configured"), e.getMessage());
            open.client().getStatus(GetStatusRequest.getDefaultInstance());
            assertEquals(
                    1,
                    local.client()
                            .apply(apply(AdminFixture.WHOLE))
                            .getAccepted()
                            .getVersion());
        }
    }

    @Test
    void requestOverTheLimitIsRefusedUnread() {
        try (AdminFixture daemon = fixture(Optional.empty(), "127.0.0.1")) {
            ApplyRequest large = apply("# " + "x".repeat(2 * LIMIT) + "\n" + AdminFixture.WHOLE);
            assertEquals(
                    Status.Code.RESOURCE_EXHAUSTED,
                    refusal(() -> daemon.client().apply(large)));
            assertEquals(
                    1,
                    daemon.client()
                            .apply(apply(AdminFixture.WHOLE))
                            .getAccepted()
                            .getVersion());
        }
    }
}

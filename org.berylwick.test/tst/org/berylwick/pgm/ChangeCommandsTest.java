package org.berylwick.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.grpc.GrpcService;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.berylwick.daemon.settings.AdminToken;
import org.berylwick.errors.StoreError;
import org.berylwick.lib.Member;
import org.berylwick.lib.TimeSource;
import org.berylwick.pgm.CommandRunner.Ran;
import org.berylwick.proto.AdminGrpc;
import org.berylwick.proto.ApplyReply;
import org.berylwick.proto.ApplyRequest;
import org.berylwick.testing.AdminFixture;
import org.berylwick.transport.MemoryStore;
import org.berylwick.transport.StoreCall;
import org.berylwick.transport.StoreInterceptor;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The commands that change something, and what they tell of each outcome. */
class ChangeCommandsTest {
    private static final String SECRET = "a-secret-of-many-letters";
    private static final String SECOND_BRAND = """
            [[brand]]
            name = "two"
            hosts = ["two.example"]
            """;

    @TempDir
    private Path folder;

    private String file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text).toString();
    }

    private String whole() throws IOException {
        return file("whole.toml", AdminFixture.WHOLE);
    }

    @Test
    void applyTellsTheVersionAndWhoseTrafficItReaches() throws IOException {
        whole();
        file("notes.txt", "not a declaration");
        try (AdminFixture daemon = new AdminFixture()) {
            Ran ran = CommandRunner.run(daemon.address(), "apply", folder.toString(), "--operation-id", "op-1");
            assertEquals(0, ran.status(), ran::all);
            assertTrue(ran.out().contains("accepted as version 1 (operation op-1)"), ran::all);
            assertTrue(ran.out().matches("(?s).*added +brand/one +one\n.*"), ran::all);
            Ran again = CommandRunner.run(daemon.address(), "apply", folder.toString(), "--operation-id", "op-1");
            assertEquals(0, again.status(), again::all);
            assertTrue(again.out().contains("accepted before as version 1"), again::all);
        }
    }

    @Test
    void applyOfWhatIsAcceptedAlreadyMakesNoVersion() throws IOException {
        try (AdminFixture daemon = new AdminFixture()) {
            CommandRunner.run(daemon.address(), "apply", whole());
            Ran ran = CommandRunner.run(daemon.address(), "apply", whole());
            assertEquals(0, ran.status(), ran::all);
            assertTrue(ran.out().contains("version 1 says this already"), ran::all);
        }
    }

    @Test
    void dryRunShowsTheDifferenceAndWritesNothing() throws IOException {
        try (AdminFixture daemon = new AdminFixture()) {
            Ran ran = CommandRunner.run(daemon.address(), "apply", whole(), "--dry-run");
            assertEquals(0, ran.status(), ran::all);
            assertTrue(ran.out().contains("nothing was written"), ran::all);
            assertTrue(ran.out().contains("brand/one"), ran::all);
            assertFalse(CommandRunner.run(daemon.address(), "history").out().contains("brand/one"));
        }
    }

    @Test
    void faultsAreToldWithFileAndLineAndField() throws IOException {
        String wrong = file("wrong.toml", AdminFixture.WHOLE.replace("hosts", "host"));
        try (AdminFixture daemon = new AdminFixture()) {
            Ran ran = CommandRunner.run(daemon.address(), "apply", wrong);
            assertEquals(2, ran.status(), ran::all);
            assertTrue(ran.err().contains("wrong.toml:3: brand[one].host: is not a known key"), ran::all);
            assertTrue(ran.err().contains("berylwick validate"), ran::all);
        }
    }

    @Test
    void operatorWhoComesSecondIsToldWhatClashes() throws IOException {
        // Two operators read version 1 and both change brand one. The second one's change would undo the
        // first one's without anyone noticing; instead it is refused and names the object and the way on.
        try (AdminFixture daemon = new AdminFixture()) {
            CommandRunner.run(daemon.address(), "apply", whole());
            String first = file("first.toml", brandOne("red"));
            String second = file("second.toml", brandOne("blue"));
            CommandRunner.run(daemon.address(), "apply", first, "--base", "1", "--author", "maria");
            Ran ran = CommandRunner.run(daemon.address(), "apply", second, "--base", "1", "--author", "ousmane");
            assertEquals(3, ran.status(), ran::all);
            assertTrue(ran.err().contains("brand/one"), ran::all);
            assertTrue(ran.err().contains("--base 2"), ran::all);
            Ran audit = CommandRunner.run(daemon.address(), "audit", "--result", "conflict");
            assertTrue(audit.out().contains("ousmane"), audit::all);
            assertFalse(audit.out().contains("maria"), audit::all);
            Ran on = CommandRunner.run(daemon.address(), "apply", second, "--base", "2");
            assertEquals(0, on.status(), on::all);
        }
    }

    private static String brandOne(String theme) {
        return "[[brand]]\nname = \"one\"\nhosts = [\"one.example\"]\nlabels = { tier = \"gold\" }\n"
                + "headers = { x-theme = \"" + theme + "\" }\n";
    }

    @Test
    void storeOutageIsToldAsSuch() throws IOException {
        MemoryStore down = new MemoryStore(TimeSource.SYSTEM, new StoreInterceptor() {
            @Override
            public Optional<StoreError> before(StoreCall call) {
                return Optional.of(new StoreError.Unavailable("outage"));
            }
        });
        try (AdminFixture daemon = new AdminFixture(down, Optional.empty(), "127.0.0.1", 1 << 20)) {
            Ran ran = CommandRunner.run(daemon.address(), "apply", whole());
            assertEquals(5, ran.status(), ran::all);
            assertTrue(ran.err().contains("nothing was changed"), ran::all);
            assertEquals(5, CommandRunner.run(daemon.address(), "history").status());
            assertEquals(0, CommandRunner.run(daemon.address(), "status").status());
            Ran audit = CommandRunner.run(daemon.address(), "audit");
            assertEquals(5, audit.status(), audit::all);
            assertTrue(audit.out().contains("unavailable"), audit::all);
        }
    }

    @Test
    void lostAnswerNamesTheOperationToRepeat() throws IOException {
        // The connection to the daemon breaks after the daemon may have had the change accepted. The operator
        // must not be told "failed": a repeat without the same operation id could undo what a third one did since.
        AtomicReference<String> seen = new AtomicReference<>();
        Server server = Server.builder()
                .http(0)
                .service(GrpcService.builder()
                        .addService(new AdminGrpc.AdminImplBase() {
                            @Override
                            public void apply(ApplyRequest request, StreamObserver<ApplyReply> observer) {
                                seen.set(request.getOperationId());
                                observer.onError(Status.INTERNAL.asRuntimeException());
                            }
                        })
                        .build())
                .build();
        server.start().join();
        Ran ran = CommandRunner.run("127.0.0.1:" + server.activeLocalPort(), "apply", whole());
        server.stop();
        assertEquals(6, ran.status(), ran::all);
        assertTrue(ran.err().contains("--operation-id " + seen.get()), ran::all);
        assertFalse(seen.get().isEmpty());
    }

    @Test
    void waitEndsWhenEveryDaemonHasTheVersion() throws IOException {
        try (AdminFixture daemon = new AdminFixture()) {
            daemon.addMember("web-2", Member.State.UP, 1);
            Ran ran = CommandRunner.run(daemon.address(), "apply", whole(), "--wait");
            assertEquals(0, ran.status(), ran::all);
            assertTrue(ran.err().contains("version 1 is in force on all 1 daemons"), ran::all);
        }
    }

    @Test
    void waitThatEndsTooSoonNamesTheDaemonsThatLag() throws IOException {
        // One daemon never installs the version. The change is accepted and stays so; the operator must see that,
        // and which daemon to look at, and must not be led to apply it again.
        try (AdminFixture daemon = new AdminFixture()) {
            daemon.addMember("web-2", Member.State.UP, 0);
            Ran ran = CommandRunner.run(daemon.address(), "apply", whole(), "--wait", "--timeout", "300ms");
            assertEquals(7, ran.status(), ran::all);
            assertTrue(ran.out().contains("accepted as version 1"), ran::all);
            assertTrue(ran.err().contains("web-2 (0, UP)"), ran::all);
        }
    }

    @Test
    void tokenIsTakenFromAFileOrTheEnvironment() throws IOException {
        MemoryStore store = new MemoryStore(TimeSource.SYSTEM);
        try (AdminFixture daemon = new AdminFixture(store, Optional.of(AdminToken.of(SECRET)), "127.0.0.1", 1 << 20)) {
            Ran without = CommandRunner.run(daemon.address(), "apply", whole());
            assertEquals(4, without.status(), without::all);
            assertTrue(without.err().contains("--token-file"), without::all);
            String token = file("token", SECRET + "\n");
            assertEquals(
                    0,
                    CommandRunner.run(daemon.address(), "apply", whole(), "--token-file", token)
                            .status());
            Map<String, String> environment =
                    Map.of("BERYLWICK_ADMIN", daemon.address(), "BERYLWICK_ADMIN_TOKEN", SECRET);
            Ran drained = CommandRunner.run(environment, "drain");
            assertEquals(0, drained.status(), drained::all);
            Ran audit = CommandRunner.run(daemon.address(), "audit");
            assertTrue(audit.out().contains("unauthenticated"), audit::all);
            assertFalse(audit.all().contains(SECRET), audit::all);
        }
    }

    @Test
    void rollbackIsANewVersion() throws IOException {
        try (AdminFixture daemon = new AdminFixture()) {
            CommandRunner.run(daemon.address(), "apply", whole());
            CommandRunner.run(daemon.address(), "apply", file("two.toml", SECOND_BRAND));
            Ran dry = CommandRunner.run(daemon.address(), "rollback", "1", "--dry-run");
            assertEquals(0, dry.status(), dry::all);
            assertTrue(dry.out().contains("removed"), dry::all);
            Ran ran = CommandRunner.run(daemon.address(), "rollback", "1");
            assertEquals(0, ran.status(), ran::all);
            assertTrue(ran.out().contains("accepted as version 3"), ran::all);
            Ran absent = CommandRunner.run(daemon.address(), "rollback", "9");
            assertEquals(2, absent.status(), absent::all);
            assertTrue(absent.err().contains("the newest is 3"), absent::all);
            assertTrue(absent.err().contains("berylwick history"), absent::all);
        }
    }

    @Test
    void drainAndUndrainTellTheState() {
        try (AdminFixture daemon = new AdminFixture()) {
            Ran drained = CommandRunner.run(daemon.address(), "drain", "web-1");
            assertEquals(0, drained.status(), drained::all);
            assertTrue(drained.out().contains("web-1 is LEAVING"), drained::all);
            Ran undrained = CommandRunner.run(daemon.address(), "undrain");
            assertEquals(0, undrained.status(), undrained::all);
            assertTrue(undrained.out().contains("web-1 is STARTING"), undrained::all);
            Ran other = CommandRunner.run(daemon.address(), "drain", "web-2");
            assertEquals(4, other.status(), other::all);
            assertTrue(other.err().contains("this daemon is web-1"), other::all);
        }
    }
}

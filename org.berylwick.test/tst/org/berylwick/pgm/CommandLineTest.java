package org.berylwick.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.Server;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Properties;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.berylwick.pgm.CommandRunner.Ran;
import org.berylwick.testing.AdminFixture;
import org.junit.jupiter.api.Test;

/** What all commands share: help, messages, addresses, completion, colour. */
class CommandLineTest {
    @Test
    void catalogueHasExactlyTheMessagesThatTheCodeNames() throws IOException {
        Properties texts = new Properties();
        try (InputStream in = Messages.class.getResourceAsStream("messages.properties")) {
            texts.load(in);
        }
        assertEquals(
                Arrays.stream(Message.values()).map(Message::name).collect(Collectors.toCollection(TreeSet::new)),
                new TreeSet<>(texts.stringPropertyNames()));
    }

    @Test
    void helpOfEachCommandHasExamplesThatCallIt() {
        for (Command c : Commands.ALL) {
            Ran ran = CommandRunner.run(Map.of(), c.name(), "--help");
            assertEquals(0, ran.status(), ran::all);
            String examples = ran.out().substring(ran.out().indexOf("examples:"));
            assertTrue(examples.contains("berylwick " + c.name()), ran::all);
        }
    }

    @Test
    void helpListsEveryExitCode() {
        Ran ran = CommandRunner.run(Map.of(), "--help");
        for (ExitCode code : ExitCode.values()) {
            assertTrue(ran.out().contains("\n  " + code.status() + "  "), code + " is missing: " + ran.out());
        }
    }

    @Test
    void unknownCommandIsBadInput() {
        Ran ran = CommandRunner.run(Map.of(), "aply");
        assertEquals(2, ran.status(), ran::all);
        assertTrue(ran.err().contains("--help"), ran::all);
    }

    @Test
    void addressWhereNothingListensIsUnreachable() {
        Ran ran = CommandRunner.run("127.0.0.1:1", "status");
        assertEquals(5, ran.status(), ran::all);
        assertTrue(ran.err().contains("event 1001"), ran::all);
    }

    @Test
    void addressOfSomethingElseIsNotTakenForAnOutageOfTheStore() {
        // An operator names a daemon's other address, which answers any path that it does not know with an HTTP
        // status of its own. Taken for gRPC, 503 would read as an outage of the store.
        Server server = Server.builder()
                .http(0)
                .serviceUnder("/", (context, request) -> HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE))
                .build();
        server.start().join();
        Ran ran = CommandRunner.run("127.0.0.1:" + server.activeLocalPort(), "status");
        server.stop();
        assertEquals(5, ran.status(), ran::all);
        assertTrue(ran.err().contains("is no admin address"), ran::all);
    }

    @Test
    void addressThatIsNoneIsBadInput() {
        Ran ran = CommandRunner.run(Map.of(), "status", "--admin", "nowhere");
        assertEquals(2, ran.status(), ran::all);
        assertTrue(ran.err().contains("--admin 10.1.2.3:8082"), ran::all);
    }

    @Test
    void addressMayStandBeforeOrAfterTheCommand() {
        try (AdminFixture daemon = new AdminFixture()) {
            assertEquals(
                    0,
                    CommandRunner.run(Map.of(), "--admin", daemon.address(), "status")
                            .status());
            assertEquals(
                    0,
                    CommandRunner.run(Map.of(), "status", "--admin", daemon.address())
                            .status());
        }
    }

    @Test
    void completionKnowsEveryCommandAndOption() {
        for (String shell : new String[] {"bash", "zsh"}) {
            Ran ran = CommandRunner.run(Map.of(), "completion", shell);
            assertEquals(0, ran.status(), ran::all);
            Commands.ALL.forEach(c -> assertTrue(ran.out().contains("    " + c.name() + ") words="), ran::all));
            assertTrue(ran.out().contains("--operation-id"), ran::all);
        }
    }

    @Test
    void boldIsForPeopleAlone() {
        assertTrue(heading(true, Map.of()).contains("\u001b["));
        assertFalse(heading(false, Map.of()).contains("\u001b["));
        assertFalse(heading(true, Map.of("NO_COLOR", "1")).contains("\u001b["));
        assertFalse(heading(true, Map.of("TERM", "dumb")).contains("\u001b["));
    }

    private static String heading(boolean interactive, Map<String, String> environment) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        new Table("A", "B").add(1, 2).print(new Terminal(stream, stream, environment, interactive));
        return out.toString(StandardCharsets.UTF_8);
    }
}

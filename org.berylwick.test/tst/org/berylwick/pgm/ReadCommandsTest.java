package org.berylwick.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.berylwick.lib.Member;
import org.berylwick.pgm.CommandRunner.Ran;
import org.berylwick.testing.AdminFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The commands that only read, for people and for programs. */
class ReadCommandsTest {
    @TempDir
    private Path folder;

    private AdminFixture daemon;

    @BeforeEach
    void applyTwoVersions() throws IOException {
        daemon = new AdminFixture();
        Path whole = Files.writeString(folder.resolve("whole.toml"), AdminFixture.WHOLE);
        Path two =
                Files.writeString(folder.resolve("two.toml"), "[[brand]]\nname = \"two\"\nhosts = [\"two.example\"]\n");
        CommandRunner.run(daemon.address(), "apply", whole.toString(), "--author", "maria", "-m", "first");
        CommandRunner.run(daemon.address(), "apply", two.toString(), "--author", "ousmane", "-m", "second");
        daemon.awaitVersion(2);
    }

    @AfterEach
    void close() {
        daemon.close();
    }

    private Ran ok(String... arguments) {
        Ran ran = CommandRunner.run(daemon.address(), arguments);
        assertEquals(0, ran.status(), ran::all);
        return ran;
    }

    private JsonNode json(String... arguments) throws IOException {
        return new ObjectMapper().readTree(ok(arguments).out());
    }

    @Test
    void getReadsObjectsBack() throws IOException {
        assertTrue(ok("get").out().matches("(?s)version 2\n.*brand +two .*route +all .*"));
        assertTrue(ok("get", "brand").out().contains("two.example"));
        assertTrue(ok("get", "brand/two").out().matches("(?s).*hosts +\\[\"two.example\"]\n.*"));
        assertEquals("two", json("get", "brand/two", "-o", "json").path("name").asText());
        assertEquals(
                1,
                json("get", "brand", "--version", "1", "-o", "json")
                        .path("brands")
                        .size());
    }

    @Test
    void getOfWhatIsNotThereTellsWhereToLook() {
        Ran object = CommandRunner.run(daemon.address(), "get", "brand/three");
        assertEquals(2, object.status(), object::all);
        assertTrue(object.err().contains("berylwick get brand"), object::all);
        Ran version = CommandRunner.run(daemon.address(), "get", "--version", "9");
        assertEquals(2, version.status(), version::all);
        assertTrue(version.err().contains("the newest is 2"), version::all);
        Ran kind = CommandRunner.run(daemon.address(), "get", "brands");
        assertEquals(2, kind.status(), kind::all);
        assertTrue(kind.err().contains("brand, route, policy or service"), kind::all);
    }

    @Test
    void validateNeedsNoDaemon() throws IOException {
        Path base = Files.writeString(
                folder.resolve("base.json"), ok("get", "-o", "json").out());
        Path brand = Files.writeString(folder.resolve("b.toml"), "[[remove]]\nkind = \"brand\"\nname = \"two\"\n");
        Map<String, String> nowhere = Map.of("BERYLWICK_ADMIN", "127.0.0.1:1");
        Ran valid = CommandRunner.run(nowhere, "validate", brand.toString(), "--on", base.toString());
        assertEquals(0, valid.status(), valid::all);
        assertTrue(valid.out().contains("1 objects would change"), valid::all);
        Path service = Files.writeString(folder.resolve("s.toml"), "[[remove]]\nkind = \"service\"\nname = \"web\"\n");
        Ran invalid = CommandRunner.run(nowhere, "validate", service.toString(), "--on", base.toString());
        assertEquals(2, invalid.status(), invalid::all);
        assertTrue(invalid.err().contains("route[all].service"), invalid::all);
        assertTrue(invalid.err().contains("--on base.json"), invalid::all);
    }

    @Test
    void diffComparesVersions() throws IOException {
        assertTrue(ok("diff", "1", "2").out().matches("(?s).*added +brand/two +two\n"));
        assertTrue(ok("diff", "1").out().contains("brand/two"));
        assertTrue(ok("diff", "2", "2").out().contains("declare the same"));
        assertEquals(
                "brand/two",
                json("diff", "1", "-o", "json")
                        .path("changes")
                        .path(0)
                        .path("object")
                        .asText());
    }

    @Test
    void historyListsNewestFirst() throws IOException {
        assertTrue(ok("history").out().matches("(?s).*\n2 .*ousmane +second .*\n1 .*maria +first .*"));
        assertTrue(ok("history").out().contains("and 1 more"));
        assertEquals(1, json("history", "-n", "1", "-o", "json").path("entries").size());
    }

    @Test
    void statusTellsWhoLagsAndSinceWhen() throws IOException {
        daemon.addMember("web-2", Member.State.UP, 1);
        daemon.addMember("web-3", Member.State.UP, 2);
        Ran ran = ok("status");
        assertTrue(ran.out().startsWith("newest version 2\n"), ran::all);
        assertTrue(ran.out().matches("(?s).*web-2 +a +UP +\\S+Z +\\S+Z +1\n.*"), ran::all);
        assertTrue(ran.out().matches("(?s).*web-3 +a +UP +\\S+Z +- +2\n.*"), ran::all);
        assertEquals(
                2,
                ok("status", "--watch", "--interval", "1ms", "--rounds", "2")
                                .out()
                                .split("newest version 2", -1)
                                .length
                        - 1);
        assertEquals("2", json("status", "-o", "json").path("newest_version").asText());
    }

    @Test
    void membersCanBeFilteredByService() throws IOException {
        daemon.addMember("web-2", Member.State.UP, 2);
        assertTrue(ok("members").out().contains("web-2"));
        assertEquals(
                0,
                json("members", "--service", "none", "-o", "json")
                        .path("members")
                        .size());
    }

    @Test
    void routeExplainsEachChoice() {
        daemon.addMember("web-2", Member.State.UP, 2);
        daemon.addMember("web-3", Member.State.LEAVING, 2);
        Ran ran = ok("route", "ONE.example", "/x", "-X", "POST");
        assertTrue(ran.out().contains("host ONE.example is brand one's"), ran::all);
        assertTrue(ran.out().contains("policy default (priority 0): applies"), ran::all);
        assertTrue(ran.out().matches("(?s).*web-2 +a +UP +yes .*web-3 +a +LEAVING +no .*"), ran::all);
        Ran none = CommandRunner.run(daemon.address(), "route", "three.example", "/");
        assertEquals(4, none.status(), none::all);
        assertTrue(none.out().contains("has host three.example"), none::all);
        assertTrue(none.err().contains("berylwick get brand"), none::all);
    }

    @Test
    void auditFilters() throws IOException {
        assertTrue(ok("audit", "--author", "maria").out().contains("first"));
        assertEquals(
                1,
                json("audit", "--object", "brand/two", "-o", "json")
                        .path("records")
                        .size());
        assertEquals(
                2, json("audit", "--since", "1h", "-o", "json").path("records").size());
        assertEquals(
                0,
                json("audit", "--result", "conflict", "-o", "json")
                        .path("records")
                        .size());
        assertTrue(ok("audit").err().contains("web-1 alone"));
        Ran wrong = CommandRunner.run(daemon.address(), "audit", "--object", "two");
        assertEquals(2, wrong.status(), wrong::all);
    }
}

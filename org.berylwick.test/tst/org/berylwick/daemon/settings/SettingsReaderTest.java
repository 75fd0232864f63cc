package org.berylwick.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.berylwick.errors.Fault;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Settings are read whole or refused with every fault at once. */
class SettingsReaderTest {
    private static final String LEAST = """
            instance = "web-1"
            region = "r"
            availability_zone = "a"
            [backend_server]
            service = "web"
            address = "127.0.0.1:9000"
            [platform]
            uri = "http://127.0.0.1:1"
            """;

    private static DaemonSettings read(String text, Map<String, String> environment) {
        return switch (SettingsReader.read("s.toml", text, environment)) {
            case Result.Ok<DaemonSettings, List<Fault>>(DaemonSettings settings) -> settings;
            case Result.Err<DaemonSettings, List<Fault>>(List<Fault> faults) ->
                throw new AssertionError(faults.toString());
        };
    }

    private static List<String> faults(String text, Map<String, String> environment) {
        return switch (SettingsReader.read("s.toml", text, environment)) {
            case Result.Ok<DaemonSettings, List<Fault>> ignored -> List.of();
            case Result.Err<DaemonSettings, List<Fault>>(List<Fault> faults) ->
                faults.stream().map(Fault::toString).toList();
        };
    }

    @Test
    void everyFaultIsToldAtOnceWithKeyAndLine() {
        List<String> faults = faults("""
                instance = "web-1"
                regoin = "r"
                availability_zone = "a"
                [listen]
                admin = "nowhere"
                [backend_server]
                service = "web"
                [platform]
                uri = "ftp://x"
                [admin]
                max_request = "4"
                """, Map.of());
        assertTrue(
                faults.stream().anyMatch(f -> f.startsWith("s.toml:2: regoin: is not a known key")), faults::toString);
        assertTrue(faults.stream().anyMatch(f -> f.contains("region: is missing")), faults::toString);
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("s.toml:5: listen.admin:")), faults::toString);
        assertTrue(faults.stream().anyMatch(f -> f.contains("backend_server.address: is missing")), faults::toString);
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("s.toml:9: platform.uri:")), faults::toString);
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("s.toml:11: admin.max_request:")), faults::toString);
    }

    @Test
    void environmentGoesBeforeTheFile() {
        DaemonSettings settings = read(
                LEAST,
                Map.of(
                        "BERYLWICK_AVAILABILITY_ZONE", "b",
                        "BERYLWICK_LISTEN_ADMIN", "127.0.0.9:1",
                        "BERYLWICK_BACKEND_SERVER_ADDRESS", "127.0.0.1:9001"));
        assertEquals("b", settings.place().availabilityZone());
        assertEquals(new HostPort("127.0.0.9", 1), settings.listen().admin());
        assertEquals(new HostPort("127.0.0.1", 9_001), settings.backendServer().address());
    }

    @Test
    void faultInTheEnvironmentNamesTheVariable() {
        List<String> faults = faults(LEAST, Map.of("BERYLWICK_LISTEN_PEERS", "8081"));
        assertEquals(1, faults.size(), faults::toString);
        assertTrue(faults.getFirst().startsWith("environment: BERYLWICK_LISTEN_PEERS:"), faults::toString);
    }

    @Test
    void tokenComesFromAFileOrTheEnvironmentAndIsNeverPrinted(@TempDir Path folder) throws IOException {
        Path file = Files.writeString(folder.resolve("token"), "a-secret-of-many-letters\n");
        DaemonSettings fromFile = read(LEAST + "[admin]\ntoken_file = \"" + file + "\"\n", Map.of());
        assertTrue(fromFile.admin().token().orElseThrow().matches("a-secret-of-many-letters"));
        assertFalse(fromFile.toString().contains("a-secret"), fromFile.toString());
        DaemonSettings fromVariable = read(LEAST, Map.of("BERYLWICK_ADMIN_TOKEN", "another-secret-of-letters"));
        assertTrue(fromVariable.admin().token().orElseThrow().matches("another-secret-of-letters"));
    }

    @Test
    void tokenThatIsTooShortOrMissingIsAFault(@TempDir Path folder) throws IOException {
        Path file = Files.writeString(folder.resolve("token"), "short");
        assertTrue(faults(LEAST + "[admin]\ntoken_file = \"" + file + "\"\n", Map.of())
                .getFirst()
                .contains("at least 16"));
        assertTrue(faults(LEAST + "[admin]\ntoken_file = \"" + folder.resolve("none") + "\"\n", Map.of())
                .getFirst()
                .contains("cannot read the token file"));
        assertTrue(faults(LEAST, Map.of("BERYLWICK_ADMIN_TOKEN", "short"))
                .getFirst()
                .contains("BERYLWICK_ADMIN_TOKEN"));
    }

    @Test
    void sampleHoldsEveryDefault() throws IOException {
        Path sample = Path.of("..", "docs", "berylwickd.sample.toml");
        String text = Files.readString(sample);
        assertEquals(read(LEAST, Map.of()), read(text, Map.of()));
        // The token has no default; every other key that is commented out shows the one that the reader has.
        String spelledOut = text.replaceAll("(?m)^# (?!token_file)([a-z_]+ = .*)$", "$1");
        assertEquals(read(LEAST, Map.of()), read(spelledOut, Map.of()));
    }

    @Test
    void sampleNamesEveryKey() throws IOException {
        // The reader tells which keys it knows when it meets one that it does not know.
        String text = Files.readString(Path.of("..", "docs", "berylwickd.sample.toml"));
        String probe = "zzz = 1\n" + text.replaceAll("(?m)^(\\[[a-z_]+])$", "$1\nzzz = 1");
        List<String> faults = faults(probe, Map.of());
        assertFalse(faults.isEmpty());
        for (String fault : faults) {
            String known = fault.substring(fault.indexOf("known here: ") + "known here: ".length());
            for (String key : known.split(", ")) {
                boolean named = text.contains("\n" + key + " =")
                        || text.contains("\n# " + key + " =")
                        || text.contains("\n[" + key + "]");
                assertTrue(named, () -> "the sample does not name " + key + " (" + fault + ")");
            }
        }
    }
}

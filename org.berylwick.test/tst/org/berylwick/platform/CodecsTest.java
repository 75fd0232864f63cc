package org.berylwick.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.Organisation;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.lib.RequestFingerprint;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.member.HeartbeatProtocol.DecodeResult;
import org.berylwick.node.version.ConfigurationSource.ReadResult;
import org.junit.jupiter.api.Test;

/** Tests the decoding of settings, configurations and heartbeats, and the rejection of invalid ones. */
class CodecsTest {
    private static final String SETTINGS = """
            {"node": "vm-1", "ip": "10.0.0.1", "zone": "a", "region": "r", "zones": {"a": "r", "b": "r"},
             "newField": [1, {"x": 2}],
             "listen": {"inbound": "10.0.0.1:1", "outbound": "10.0.0.1:2", "readinessAddr": "10.0.0.1:3",
              "control": "10.0.0.1:4"},
             "internalPorts": [7600, 7615], "seeds": ["10.0.0.9:4"], "dataDir": null,
             "limits": {"memoryMb": 258, "cpuShare": 0.3}, "bounds": {"drainS": 2.5, "budgetRatio": 0.25},
             "appAddr": "10.0.0.1:5", "service": "books", "platform": {"address": "10.9.0.1:6"}}
            """;

    private static final String CONFIGURATION = """
            {"version":"0000001c","services":[{"name":"s1","maxConnections":9},{"name":"s2"}],
             "limits":{"idleTimeoutS":1.5},
             "virtualHosts":[{"hostname":"H.example","paths":[
               {"name":"short","pathPrefix":"/a/","kind":"safe","service":"s1"},
               {"name":"long","pathPrefix":"/a/b/","kind":"download","timeoutS":2,"priority":1,"maxAttempts":3,
                "trafficSplit":[{"service":"s1","weight":3},{"service":"s2","weight":1}]}]}]}
            """;

    private static ReadResult decode(String text) {
        return new ConfigurationCodec().decode(text.getBytes(StandardCharsets.UTF_8), 5);
    }

    private static SettingsFile parse(String text) {
        return SettingsFile.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void settingsAreParsedAndUnknownFieldsIgnored() {
        SettingsFile file = parse(SETTINGS);
        assertEquals("books", file.settings().service());
        assertEquals(2_500_000_000L, file.settings().bounds().drainNanos());
        assertEquals(0.25, file.settings().bounds().retryRatio());
        assertEquals(7600, file.settings().gossipPort());
        assertEquals(1, file.settings().seeds().size());
        assertEquals("r", file.regionOfZone().get("b"));
    }

    @Test
    void settingsWithoutARequiredAddressAreRejectedNamingTheField() {
        String incomplete = SETTINGS.replace("\"control\"", "\"other\"");
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> parse(incomplete));
        assertTrue(e.getMessage().contains("control"), e.getMessage());
    }

    @Test
    void configurationIsDecodedAndTheLongestPrefixMatches() {
        ConfigurationVersion version =
                assertInstanceOf(ReadResult.Found.class, decode(CONFIGURATION)).version();
        assertEquals(0x1c, version.number());
        assertEquals(
                "long", version.route("h.example:80", "/a/b/c").orElseThrow().name());
        assertEquals(
                RouteKind.BULK,
                version.route("h.example", "/a/b/c").orElseThrow().kind());
        assertEquals("short", version.route("H.EXAMPLE", "/a/x").orElseThrow().name());
        assertTrue(version.route("h.example", "/b/").isEmpty());
        assertEquals(1_500_000_000L, version.limits().idleTimeoutNanos());
        assertEquals("s1", version.route("h.example", "/a/b/c").orElseThrow().serviceAt(0.74));
        assertEquals("s2", version.route("h.example", "/a/b/c").orElseThrow().serviceAt(0.76));
    }

    @Test
    void invalidConfigurationIsRejected() {
        assertInstanceOf(ReadResult.Invalid.class, decode("{\"version\":"));
        assertInstanceOf(ReadResult.Invalid.class, decode(CONFIGURATION.replace("\"name\":\"s2\"", "\"name\":\"s3\"")));
        assertInstanceOf(ReadResult.Invalid.class, decode(CONFIGURATION.replace("0000001c", "new")));
        assertInstanceOf(ReadResult.Invalid.class, decode(CONFIGURATION.replace("\"/a/\"", "\"a\"")));
        assertInstanceOf(ReadResult.Invalid.class, decode(CONFIGURATION.replace("\"weight\":3", "\"weight\":-3")));
    }

    @Test
    void heartbeatsAreDecodedByMethodAndPath() {
        HeartbeatCodec codec = new HeartbeatCodec();
        byte[] body = ("{\"address\":\"10.0.0.1:5\",\"info\":{\"service\":\"s\",\"slots\":12},"
                        + "\"status\":{\"state\":\"draining\",\"seq\":4,\"warmupLeftS\":1.5}}")
                .getBytes(StandardCharsets.UTF_8);
        DecodeResult.Report report =
                assertInstanceOf(DecodeResult.Report.class, codec.decode("PUT", "/instances/i-1", body));
        assertEquals(BackendState.DRAINING, report.report().state());
        assertEquals(1_500_000_000L, report.report().warmUpNanos());
        assertEquals(new DecodeResult.Leave("i-1"), codec.decode("DELETE", "/instances/i-1", new byte[0]));
        assertInstanceOf(DecodeResult.Malformed.class, codec.decode("PUT", "/instances/i-1", new byte[3]));
        assertInstanceOf(DecodeResult.Malformed.class, codec.decode("PUT", "/other", body));
    }

    @Test
    void storedCrashIsDecodedAndInvalidOnesAreNot() {
        long at = System.nanoTime() - 90_000_000_000L;
        SuspectReport.Crashed crash = new SuspectReport.Crashed(new RequestFingerprint(-7, Long.MIN_VALUE), 3, -9, at);
        SuspectReport.Crashed decoded =
                StoredCrash.decode(StoredCrash.encode(crash)).orElseThrow();
        assertEquals(crash.request(), decoded.request());
        assertEquals(3, decoded.generation());
        assertEquals(-9, decoded.incarnation());
        assertEquals(90, Math.round((System.nanoTime() - decoded.at()) / 1e9));
        for (String invalid : List.of("", "1;2;3;4", "1;2;3;4;5;6", "a;2;3;4;5", "1;2;3;4;99999999999999999999")) {
            assertEquals(Optional.empty(), StoredCrash.decode(invalid), invalid);
        }
    }

    private static String withOrganisations(String organisations) {
        return CONFIGURATION.replace("\"limits\"", "\"tenants\":[" + organisations + "],\"limits\"");
    }

    @Test
    void organisationsAreDecodedWithTheirKeys() {
        ConfigurationVersion version = assertInstanceOf(
                        ReadResult.Found.class,
                        decode(withOrganisations("{\"name\":\"acme\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1,"
                                + "\"ratePerS\":4.5,\"burst\":9},{\"name\":\"zeta\",\"apiKeys\":[]}")))
                .version();
        assertEquals(
                new Organisation("acme", 1, 4.5, 9),
                version.organisationOfKey("k2").orElseThrow());
        assertEquals(
                new Organisation("zeta", OrganisationTag.NO_PRIORITY, 0, 0),
                version.organisation("zeta").orElseThrow());
        assertTrue(version.organisationOfKey("k3").isEmpty());
    }

    /** Guards against a version in which a key, a name or a limit leaves open who may send how much. */
    @Test
    void ambiguousOrganisationsMakeTheVersionInvalidWithoutNamingKeys() {
        List<String> invalid = List.of(
                "{\"name\":\"a\",\"apiKeys\":[\"secret\"]},{\"name\":\"b\",\"apiKeys\":[\"secret\"]}",
                "{\"name\":\"a\"},{\"name\":\"a\"}",
                "{\"name\":\"\",\"apiKeys\":[\"secret\"]}",
                "{\"apiKeys\":[\"secret\"]}",
                "{\"name\":\"a\",\"apiKeys\":[\"\"]}",
                "{\"name\":\"a\",\"apiKeys\":[7]}",
                "{\"name\":\"a\",\"ratePerS\":-1}",
                "{\"name\":\"a\",\"ratePerS\":1e999}",
                "{\"name\":\"a\",\"burst\":-1}");
        for (String organisations : invalid) {
            ReadResult.Invalid result =
                    assertInstanceOf(ReadResult.Invalid.class, decode(withOrganisations(organisations)), organisations);
            assertFalse(result.toString().contains("secret"), result.toString());
        }
    }
}

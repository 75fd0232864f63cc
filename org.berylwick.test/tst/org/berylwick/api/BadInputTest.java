package org.berylwick.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.berylwick.errors.Fault;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.MemoryStore;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What is refused, where it is said to stand, and that what is accepted stays. */
class BadInputTest {
    private static final String WHOLE = """
            [[brand]]
            name = "one"
            hosts = ["one.example"]
            labels = { tier = "gold" }

            [[service]]
            name = "web"

            [[route]]
            name = "all"
            path = "/"
            service = "web"

            [[policy]]
            name = "default"
            """;

    private final VersionRepository repository = new VersionRepository(new MemoryStore(TimeSource.SYSTEM));

    private ApplyResult apply(String text) {
        return new ApplyCommand(repository, TimeSource.SYSTEM)
                .addDocument("change.toml", text)
                .setDeadline(Deadline.afterMillis(TimeSource.SYSTEM, 10_000))
                .call();
    }

    private List<Fault> refused(String text) {
        List<Fault> faults =
                assertInstanceOf(ApplyResult.Rejected.class, apply(text)).faults();
        ReadVersionResult.Found inForce = assertInstanceOf(
                ReadVersionResult.Found.class,
                new ReadVersionCommand(repository)
                        .setDeadline(Deadline.afterMillis(TimeSource.SYSTEM, 10_000))
                        .call());
        assertEquals(1, inForce.snapshot().id().number());
        return faults;
    }

    private static List<String> fieldsOf(List<Fault> faults) {
        return faults.stream().map(f -> f.line() + " " + f.field()).toList();
    }

    @BeforeEach
    void acceptAWholeConfiguration() {
        assertInstanceOf(ApplyResult.Accepted.class, apply(WHOLE));
    }

    @Test
    void everyFaultOfADocumentIsToldAtOnceWithItsLine() {
        List<Fault> faults = refused("""
                [[brand]]
                name = "two"
                hosts = ["one.example", "two.example:8080"]
                colour = "red"

                [[route]]
                name = "search"
                path = "search"
                service = "wbe"
                brands = "tier ~ gold"

                [[policy]]
                name = "fast"
                timeout = 5

                [[remove]]
                kind = "service"
                name = "nothing"
                """);
        assertEquals(
                List.of(
                        "3 brand[two].hosts",
                        "4 brand[two].colour",
                        "8 route[search].path",
                        "10 route[search].brands",
                        "14 policy[fast].timeout",
                        "18 remove[nothing].name",
                        "2 brand[two].hosts",
                        "7 route[search].service"),
                fieldsOf(faults));
    }

    @Test
    void textThatIsNotTomlIsRefusedWithItsLineAlone() {
        assertEquals(List.of("2 (syntax)"), fieldsOf(refused("[[route]]\nname = \n")));
    }

    @Test
    void selectorsThatMatchNothingAreRefused() {
        assertEquals(
                List.of("2 route[gone].brands", "7 policy[gone].brands", "7 policy[gone].routes"),
                fieldsOf(refused("""
                        [[route]]
                        name = "gone"
                        path = "/gone"
                        service = "web"
                        brands = "tier = silver"
                        [[policy]]
                        name = "gone"
                        priority = 5
                        brands = "tier = silver"
                        routes = "kind = bulk"
                        """)));
    }

    @Test
    void routesThatClashForABrandAreRefused() {
        List<Fault> faults = refused("""
                [[route]]
                name = "again"
                path = "/"
                service = "web"
                """);
        assertEquals(List.of("2 route[again].path"), fieldsOf(faults.subList(0, 1)));
    }

    @Test
    void policiesOfEqualPriorityForOneRouteAreRefused() {
        assertEquals(List.of("2 policy[second].priority"), fieldsOf(refused("""
                [[policy]]
                name = "second"
                """)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a..b", "-a.example", "a_b.example", "one.example:80", "[::1]", "a.example."})
    void hostThatNoRequestCanNameIsRefused(String host) {
        assertEquals(List.of("3 brand[two].hosts"), fieldsOf(refused("""
                [[brand]]
                name = "two"
                hosts = ["%s"]
                """.formatted(host))));
    }

    @ParameterizedTest
    @CsvSource({
        "x brand,v",
        "'',v",
        "X-Brand,v",
        "berylwick-outcome,v",
        "Berylwick-Class,v",
        "connection,close",
        "Transfer-Encoding,chunked",
        "te,trailers",
        "x-request-id,1",
        "x-theme,a\\u0007b",
        "x-theme,caf\\u00e9"
    })
    void headerThatIsIllegalOrNotABrandsIsRefused(String name, String value) {
        assertEquals(List.of("4 brand[two].headers"), fieldsOf(refused("""
                [[brand]]
                name = "two"
                hosts = ["two.example"]
                headers = { "%s" = "%s" }
                """.formatted(name, value))));
    }

    @Test
    void headerGivenTwiceInDifferentCaseIsRefused() {
        assertEquals(List.of("4 brand[two].headers"), fieldsOf(refused("""
                [[brand]]
                name = "two"
                hosts = ["two.example"]
                headers = { x-theme = "a", X-Theme = "b" }
                """)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"/a/../b", "/./a", "/a//b", "a", "/a?b", "/a b"})
    void pathThatCouldBeReadInTwoWaysIsRefused(String path) {
        assertEquals(List.of("3 route[odd].path"), fieldsOf(refused("""
                [[route]]
                name = "odd"
                path = "%s"
                service = "web"
                """.formatted(path))));
    }

    @Test
    void labelThatNoSelectorCanNameIsRefused() {
        assertEquals(List.of("4 brand[two].labels"), fieldsOf(refused("""
                [[brand]]
                name = "two"
                hosts = ["two.example"]
                labels = { tier = "very gold" }
                """)));
    }

    @Test
    void objectOverAMegabyteIsRefusedWithItsPlaceAndSize() {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < 50_000; i++) {
            hosts.append("\"host-number-").append(i).append(".example\",");
        }
        List<Fault> faults = refused("""
                [[brand]]
                name = "two"
                hosts = [%s]
                """.formatted(hosts));
        assertEquals(List.of("2 brand[two]"), fieldsOf(faults));
        assertTrue(
                faults.getFirst().rule().contains("1048576"), faults.getFirst().rule());
    }

    @Test
    void changeWhoseTableOfContentsIsOverAMegabyteIsRefusedWithWhatTakesTheSpace() {
        StringBuilder brands = new StringBuilder();
        for (int i = 0; i < 9_000; i++) {
            brands.append("[[brand]]\nname = \"b").append(i).append("\"\n");
            brands.append("hosts = [\"b").append(i).append(".example\"]\n");
        }
        List<Fault> faults = refused(brands.toString());
        assertEquals(List.of("0 (objects)"), fieldsOf(faults));
        assertTrue(
                faults.getFirst().rule().contains("9004 objects"),
                faults.getFirst().rule());
    }
}

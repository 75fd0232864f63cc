package org.berylwick.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.berylwick.errors.Fault;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.ObjectChange;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.MemoryStore;
import org.junit.jupiter.api.Test;

/** How changes are accepted, refused and repeated. */
class ApplyCommandTest {
    private static final String WHOLE = """
            [[brand]]
            name = "one"
            hosts = ["one.example"]

            [[service]]
            name = "web"

            [[route]]
            name = "all"
            path = "/"
            service = "web"

            [[policy]]
            name = "default"
            idempotent = true
            """;

    private final VersionRepository repository = new VersionRepository(new MemoryStore(TimeSource.SYSTEM));

    private ApplyCommand command(String text) {
        return new ApplyCommand(repository, TimeSource.SYSTEM)
                .addDocument("test.toml", text)
                .setDeadline(Deadline.afterMillis(TimeSource.SYSTEM, 10_000));
    }

    @Test
    void wholeDeclarationIsAcceptedAsTheFirstVersion() {
        ApplyResult.Accepted accepted =
                assertInstanceOf(ApplyResult.Accepted.class, command(WHOLE).call());
        assertEquals(1, accepted.version().number());
        assertEquals(4, accepted.changes().size());
    }

    @Test
    void repeatWithTheSameOperationIdIsAcceptedOnce() {
        command(WHOLE).setOperationId("op-1").call();
        ApplyResult.Accepted again = assertInstanceOf(
                ApplyResult.Accepted.class,
                command(WHOLE).setOperationId("op-1").call());
        assertTrue(again.repeatedOperation());
        assertEquals(1, again.version().number());
    }

    @Test
    void dryRunWritesNothing() {
        assertInstanceOf(
                ApplyResult.DryRun.class, command(WHOLE).setDryRun(true).call());
        ApplyResult.Accepted accepted =
                assertInstanceOf(ApplyResult.Accepted.class, command(WHOLE).call());
        assertEquals(1, accepted.version().number());
    }

    @Test
    void routeToAServiceThatNoOneDeclaredIsRefusedWithItsPlace() {
        String text = WHOLE.replace("service = \"web\"", "service = \"wbe\"");
        ApplyResult.Rejected rejected =
                assertInstanceOf(ApplyResult.Rejected.class, command(text).call());
        Fault fault = rejected.faults().getFirst();
        assertEquals("test.toml", fault.document());
        assertEquals(9, fault.line());
        assertEquals("route[all].service", fault.field());
    }

    @Test
    void removalThatLeavesARouteDanglingIsRefused() {
        command(WHOLE).call();
        ApplyResult.Rejected rejected =
                assertInstanceOf(ApplyResult.Rejected.class, command("""
                        [[remove]]
                        kind = "service"
                        name = "web"
                        """).call());
        assertEquals("route[all].service", rejected.faults().getFirst().field());
    }

    @Test
    void changeOfOneBrandTellsWhoseTrafficItReaches() {
        command(WHOLE).call();
        ApplyResult.Accepted accepted =
                assertInstanceOf(ApplyResult.Accepted.class, command("""
                        [[brand]]
                        name = "one"
                        hosts = ["one.example"]
                        headers = { x-theme = "new" }
                        """).call());
        assertEquals(
                List.of(List.of("one")),
                accepted.changes().stream().map(ObjectChange::brands).toList());
    }
}

package org.berylwick.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.ObjectChange;
import org.berylwick.lib.ObjectRef;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.MemoryStore;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Reading back what was accepted, and taking it back. */
class HistoryAndRollbackTest {
    private static final ObjectRef BRAND_ONE = new ObjectRef(ObjectRef.Kind.BRAND, "one");

    private final VersionRepository repository = new VersionRepository(new MemoryStore(TimeSource.SYSTEM));

    private static Deadline soon() {
        return Deadline.afterMillis(TimeSource.SYSTEM, 10_000);
    }

    private static String brand(String name, String theme) {
        return """
                [[brand]]
                name = "%1$s"
                hosts = ["%1$s.example"]
                headers = { x-theme = "%2$s" }
                """.formatted(name, theme);
    }

    private void apply(String author, String operationId, String text) {
        assertInstanceOf(
                ApplyResult.Accepted.class,
                new ApplyCommand(repository, TimeSource.SYSTEM)
                        .addDocument("test.toml", text)
                        .setAuthor(author)
                        .setOperationId(operationId)
                        .setDeadline(soon())
                        .call());
    }

    @BeforeEach
    void acceptThreeVersions() {
        apply("ana", "op-1", brand("one", "plain") + """
                [[service]]
                name = "web"

                [[route]]
                name = "all"
                path = "/"
                service = "web"

                [[policy]]
                name = "default"
                """);
        apply("ben", "op-2", brand("two", "plain"));
        apply("ana", "op-3", brand("one", "dark"));
    }

    private static List<Long> numbers(HistoryResult result) {
        HistoryResult.Found found = assertInstanceOf(HistoryResult.Found.class, result);
        return found.versions().stream().map(v -> v.id().number()).toList();
    }

    private HistoryCommand history() {
        return new HistoryCommand(repository).setDeadline(soon());
    }

    @Test
    void historyIsNewestFirstAndGoesOnWhereItEnded() {
        assertEquals(List.of(3L, 2L, 1L), numbers(history().call()));
        HistoryResult.Found first = assertInstanceOf(
                HistoryResult.Found.class, history().setLimit(2).call());
        assertEquals(List.of(3L, 2L), numbers(first));
        assertEquals(Optional.of(2L), first.more());
        assertEquals(List.of(1L), numbers(history().setBefore(2).call()));
    }

    @Test
    void historyIsFilteredByAuthorOperationAndObject() {
        assertEquals(List.of(3L, 1L), numbers(history().setAuthor("ana").call()));
        assertEquals(List.of(2L), numbers(history().setOperationId("op-2").call()));
        assertEquals(List.of(3L, 1L), numbers(history().setObject(BRAND_ONE).call()));
    }

    @Test
    void olderVersionIsReadWholeAndComparedWithTheCurrentOne() {
        ReadVersionResult.Found first = assertInstanceOf(
                ReadVersionResult.Found.class,
                new ReadVersionCommand(repository)
                        .setVersion(1)
                        .setDeadline(soon())
                        .call());
        assertEquals(1, first.snapshot().configuration().brands().size());
        DiffResult.Difference difference = assertInstanceOf(
                DiffResult.Difference.class,
                new DiffCommand(repository).setOlder(1).setDeadline(soon()).call());
        assertEquals(3, difference.newer().number());
        assertEquals(
                List.of("brand/one", "brand/two"),
                difference.changes().stream().map(c -> c.object().toString()).toList());
    }

    @Test
    void numberThatWasNeverAcceptedIsSaidToBeAbsent() {
        assertEquals(
                new ReadVersionResult.NoSuchVersion(4, 3),
                new ReadVersionCommand(repository)
                        .setVersion(4)
                        .setDeadline(soon())
                        .call());
        assertEquals(
                new DiffResult.NoSuchVersion(9, 3),
                new DiffCommand(repository).setNewer(9).setDeadline(soon()).call());
    }

    private RollbackCommand rollback(long number) {
        return new RollbackCommand(repository, TimeSource.SYSTEM)
                .setToVersion(number)
                .setDeadline(soon());
    }

    @Test
    void rollbackIsANewVersionWithTheOldContent() {
        ApplyResult.Accepted accepted =
                assertInstanceOf(ApplyResult.Accepted.class, rollback(1).call());
        assertEquals(4, accepted.version().number());
        assertEquals(
                List.of(ObjectChange.Kind.CHANGED, ObjectChange.Kind.REMOVED),
                accepted.changes().stream().map(ObjectChange::kind).toList());
        DiffResult.Difference difference = assertInstanceOf(
                DiffResult.Difference.class,
                new DiffCommand(repository).setOlder(1).setDeadline(soon()).call());
        assertTrue(difference.changes().isEmpty());
    }

    @Test
    void rollbackToWhatIsAcceptedMakesNoVersion() {
        assertInstanceOf(ApplyResult.Unchanged.class, rollback(3).call());
        assertEquals(List.of(3L, 2L, 1L), numbers(history().call()));
    }

    @Test
    void rollbackToAVersionThatNeverWasIsRefused() {
        assertInstanceOf(ApplyResult.Rejected.class, rollback(7).call());
        assertInstanceOf(ApplyResult.Rejected.class, rollback(0).call());
    }
}

package org.berylwick.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Optional;
import org.berylwick.errors.Fault;
import org.berylwick.errors.StoreError;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.ObjectRef;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;
import org.berylwick.transport.MemoryStore;
import org.berylwick.transport.StoreCall;
import org.berylwick.transport.StoreInterceptor;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Operators who change one configuration without knowing of each other. */
class ConflictTest {
    private static final ObjectRef ONE = new ObjectRef(ObjectRef.Kind.BRAND, "one");

    private Runnable beforeHeadWrite = () -> {};
    private final MemoryStore store = new MemoryStore(TimeSource.SYSTEM, new StoreInterceptor() {
        @Override
        public Optional<StoreError> before(StoreCall call) {
            if (call.isWrite() && call.path().equals(VersionRepository.HEAD_PREFIX)) {
                Runnable once = beforeHeadWrite;
                beforeHeadWrite = () -> {};
                once.run();
            }
            return Optional.empty();
        }
    });
    private final VersionRepository repository = new VersionRepository(store);

    private static String brand(String name, String theme) {
        return """
                [[brand]]
                name = "%1$s"
                hosts = ["%1$s.example"]
                headers = { x-theme = "%2$s" }
                """.formatted(name, theme);
    }

    private static String removal(String name) {
        return """
                [[remove]]
                kind = "brand"
                name = "%s"
                """.formatted(name);
    }

    private ApplyCommand command(String text) {
        return new ApplyCommand(repository, TimeSource.SYSTEM)
                .addDocument("test.toml", text)
                .setDeadline(Deadline.afterMillis(TimeSource.SYSTEM, 10_000));
    }

    private VersionId accepted(String text) {
        return assertInstanceOf(ApplyResult.Accepted.class, command(text).call())
                .version();
    }

    @BeforeEach
    void acceptTwoBrands() {
        accepted(brand("one", "plain") + brand("two", "plain"));
    }

    @Test
    void changeOfWhatOthersLeftAloneIsMergedOnAnOlderBase() {
        accepted(brand("two", "dark"));
        ApplyResult.Accepted mine = assertInstanceOf(
                ApplyResult.Accepted.class,
                command(brand("one", "dark")).setBaseVersion(1).call());
        assertEquals(3, mine.version().number());
    }

    @Test
    void changeOfWhatOthersChangedSinceTheBaseIsAConflictThatNamesIt() {
        VersionId others = accepted(brand("one", "dark"));
        String mine = brand("one", "light") + brand("two", "light");
        assertEquals(
                new ApplyResult.Conflict(others, List.of(ONE)),
                command(mine).setBaseVersion(1).call());
    }

    @Test
    void sameChangeByTwoOperatorsIsNoConflict() {
        accepted(brand("one", "dark"));
        assertInstanceOf(
                ApplyResult.Unchanged.class,
                command(brand("one", "dark")).setBaseVersion(1).call());
    }

    @Test
    void objectThatOthersRemovedIsNotBroughtBackUnseen() {
        VersionId others = accepted(removal("one"));
        assertEquals(
                new ApplyResult.Conflict(others, List.of(ONE)),
                command(brand("one", "light")).setBaseVersion(1).call());
        assertEquals(
                new ApplyResult.Conflict(others, List.of(ONE)),
                command(removal("one")).setBaseVersion(1).call());
    }

    @Test
    void changeAcceptedWhileThisOneIsMergedIsNotOverwrittenUnseen() {
        // Both operators name no base and send a new theme for one brand at the same moment. The first one's
        // head is written between the second's read and write. The second must learn of it rather than
        // replace a theme that it never saw.
        beforeHeadWrite = () -> accepted(brand("one", "dark"));
        ApplyResult.Conflict conflict = assertInstanceOf(
                ApplyResult.Conflict.class, command(brand("one", "light")).call());
        assertEquals(List.of(ONE), conflict.objects());

        beforeHeadWrite = () -> accepted(brand("one", "dim"));
        ApplyResult.Accepted other = assertInstanceOf(
                ApplyResult.Accepted.class, command(brand("two", "light")).call());
        assertEquals(4, other.version().number());
    }

    @Test
    void veryFirstChangeOfAnotherIsNotOverwrittenUnseen() {
        MemoryStore[] empty = new MemoryStore[1];
        empty[0] = new MemoryStore(TimeSource.SYSTEM, new StoreInterceptor() {
            private boolean raced;

            @Override
            public Optional<StoreError> before(StoreCall call) {
                if (call.isWrite() && call.path().equals(VersionRepository.HEAD_PREFIX) && !raced) {
                    raced = true;
                    assertInstanceOf(
                            ApplyResult.Accepted.class, first(empty[0], "dark").call());
                }
                return Optional.empty();
            }
        });
        assertInstanceOf(ApplyResult.Conflict.class, first(empty[0], "light").call());
    }

    private static ApplyCommand first(MemoryStore in, String theme) {
        return new ApplyCommand(new VersionRepository(in), TimeSource.SYSTEM)
                .addDocument("test.toml", brand("one", theme))
                .setDeadline(Deadline.afterMillis(TimeSource.SYSTEM, 10_000));
    }

    @Test
    void baseThatWasNeverAcceptedIsRefused() {
        ApplyResult.Rejected rejected = assertInstanceOf(
                ApplyResult.Rejected.class,
                command(brand("one", "dark")).setBaseVersion(9).call());
        assertEquals("base_version", rejected.faults().getFirst().field());
    }

    @Test
    void removalOfWhatIsNotThereIsRefusedWithItsPlace() {
        ApplyResult.Rejected rejected = assertInstanceOf(
                ApplyResult.Rejected.class, command(removal("three")).call());
        assertEquals(
                List.of(new Fault("test.toml", 3, "remove[three].name", "there is no brand 'three' to remove")),
                rejected.faults());
    }

    @Test
    void changeThatChangesNothingMakesNoVersion() {
        ApplyResult.Unchanged unchanged = assertInstanceOf(
                ApplyResult.Unchanged.class, command(brand("one", "plain")).call());
        assertEquals(1, unchanged.current().number());
    }
}

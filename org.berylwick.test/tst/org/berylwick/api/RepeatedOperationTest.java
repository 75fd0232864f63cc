package org.berylwick.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Callable;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;
import org.berylwick.transport.MemoryStore;
import org.junit.jupiter.api.Test;

/** The same operation asked for again, through other daemons and after other changes. */
class RepeatedOperationTest {
    private static final int MORE_THAN_ONE_SEGMENT = 200;

    private final MemoryStore store = new MemoryStore(TimeSource.SYSTEM);
    private final VersionRepository repository = new VersionRepository(store);

    private static String brand(String name, int theme) {
        return """
                [[brand]]
                name = "%1$s"
                hosts = ["%1$s.example"]
                headers = { x-theme = "%2$d" }
                """.formatted(name, theme);
    }

    private ApplyCommand command(String operationId, String text) {
        return new ApplyCommand(repository, TimeSource.SYSTEM)
                .addDocument("test.toml", text)
                .setOperationId(operationId)
                .setDeadline(Deadline.afterMillis(TimeSource.SYSTEM, 30_000));
    }

    private static VersionId accepted(ApplyResult result) {
        return assertInstanceOf(ApplyResult.Accepted.class, result).version();
    }

    @Test
    void repeatIsRecognisedAfterManyOtherChanges() {
        // An operator loses the answer to a change, goes to lunch, and sends the same operation again.
        // By then others had so many versions accepted that the operation stands in an older segment of the
        // history. Were it not found, it would undo what others changed on the same brand since.
        VersionId first = accepted(command("first", brand("one", 0)).call());
        for (int i = 1; i <= MORE_THAN_ONE_SEGMENT; i++) {
            accepted(command("other-" + i, brand("one", i)).call());
        }
        ApplyResult.Accepted repeat = assertInstanceOf(
                ApplyResult.Accepted.class, command("first", brand("one", 0)).call());
        assertTrue(repeat.repeatedOperation());
        assertEquals(first, repeat.version());
        assertEquals(1, repeat.changes().size());
    }

    @Test
    void sameOperationThroughTwoDaemonsAtOnceMakesOneVersion() throws Exception {
        // An operator's tool gives up on one daemon and sends the same operation to another while the first
        // still runs. Both write; the store takes the head from one of them, and the other finds the operation
        // in the history and answers with the same version.
        try (ExecutorService daemons = Executors.newFixedThreadPool(2)) {
            for (int round = 0; round < 50; round++) {
                CyclicBarrier start = new CyclicBarrier(2);
                String text = brand("one", round);
                String operation = "op-" + round;
                Callable<VersionId> daemon = () -> {
                    start.await();
                    return accepted(command(operation, text).call());
                };
                Future<VersionId> one = daemons.submit(daemon);
                Future<VersionId> other = daemons.submit(daemon);
                assertEquals(one.get(), other.get());
                assertEquals(round + 1, one.get().number());
            }
        }
    }

    @Test
    void storeThatShowsLessThanIsInForceIsNotWrittenTo() {
        // The store was restored from an old copy, or a lagging replica of it answers. A change accepted there
        // would get a number that every daemon has passed, and would never be in force.
        VersionId first = accepted(command("first", brand("one", 0)).call());
        VersionId inForce = new VersionId(2, Digest.of(new byte[] {1}));
        assertInstanceOf(
                ApplyResult.Unavailable.class,
                command("second", brand("one", 1)).setInForce(inForce).call());
        VersionId sibling = new VersionId(1, Digest.of(new byte[] {1}));
        assertInstanceOf(
                ApplyResult.Unavailable.class,
                command("second", brand("one", 1)).setInForce(sibling).call());
        assertEquals(
                new VersionId(
                        2,
                        accepted(command("second", brand("one", 1))
                                        .setInForce(first)
                                        .call())
                                .digest()),
                accepted(command("second", brand("one", 1)).call()));
    }
}

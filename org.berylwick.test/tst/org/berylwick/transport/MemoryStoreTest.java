package org.berylwick.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Duration;
import java.util.Optional;
import org.berylwick.errors.StoreError;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.junit.jupiter.api.Test;

/** What an intercepted call leaves behind. */
final class MemoryStoreTest {
    private static final ObjectKey KEY = new ObjectKey("a/b");
    private static final StoreError DOWN = new StoreError.Unavailable("down");
    private static final StoreError LOST = new StoreError.OutcomeUnknown("lost");

    private final Deadline deadline = Deadline.after(TimeSource.SYSTEM, Duration.ofMinutes(1));

    private Result<Optional<StoredObject>, StoreError> valueAfterPut(StoreInterceptor faults) {
        try (MemoryStore store = new MemoryStore(TimeSource.SYSTEM, faults)) {
            Result<Long, StoreError> put = store.put(KEY, new byte[1], new Precondition.MustBeAbsent(), deadline);
            assertInstanceOf(Result.Err.class, put);
            return store.get(KEY, deadline);
        }
    }

    @Test
    void aCallRefusedBeforehandHasNoEffect() {
        Result<Optional<StoredObject>, StoreError> read = valueAfterPut(new StoreInterceptor() {
            @Override
            public Optional<StoreError> before(StoreCall call) {
                return call.isWrite() ? Optional.of(DOWN) : Optional.empty();
            }
        });
        assertEquals(Result.ok(Optional.empty()), read);
    }

    @Test
    void aCallWhoseAnswerIsLostHasItsEffect() {
        Result<Optional<StoredObject>, StoreError> read = valueAfterPut(new StoreInterceptor() {
            @Override
            public Optional<StoreError> after(StoreCall call) {
                return call.isWrite() ? Optional.of(LOST) : Optional.empty();
            }
        });
        assertEquals(Result.ok(true), read.map(Optional::isPresent));
    }
}

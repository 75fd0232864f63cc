package org.berylwick.transport;

import java.util.Optional;
import org.berylwick.errors.StoreError;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Result;

/**
 * The platform's object API.
 *
 * <p>All calls block the calling duty's thread until they succeed, fail or meet their deadline. Each is one call
 * against the store's rate; none is retried here. Another wire form of the same API is one more permitted class.
 */
public sealed interface PlatformStore extends AutoCloseable permits HttpPlatformStore, MemoryStore {
    /** Largest value that the platform holds, in bytes. */
    int MAX_VALUE_BYTES = 1 << 20;

    /** Reads one object; empty if there is none. */
    Result<Optional<StoredObject>, StoreError> get(ObjectKey key, Deadline deadline);

    /** Reads every object whose key begins with {@code prefix}; the batch's revision is where a watch may go on. */
    Result<WatchBatch, StoreError> list(String prefix, Deadline deadline);

    /** Writes one object and tells its new version. */
    Result<Long, StoreError> put(ObjectKey key, byte[] value, Precondition precondition, Deadline deadline);

    /** Deletes one object; deleting what is absent succeeds unless the precondition names a version. */
    Result<Long, StoreError> delete(ObjectKey key, Precondition precondition, Deadline deadline);

    /** Waits until an object under {@code prefix} changes after {@code revision}, or the deadline passes. */
    Result<WatchBatch, StoreError> watch(String prefix, long revision, Deadline deadline);

    @Override
    void close();
}

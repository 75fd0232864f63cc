package org.berylwick.internal.version;

import java.util.Optional;
import org.berylwick.errors.StoreError;
import org.berylwick.errors.VersionError;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.PlatformStore;
import org.berylwick.transport.Precondition;

/** Values kept in the platform's store under their own hashes. */
final class ContentStore {
    private final PlatformStore store;

    ContentStore(PlatformStore store) {
        this.store = store;
    }

    /** Reads a value and checks it against its hash; missing is damage. */
    Result<byte[], VersionError> read(String prefix, Digest digest, Deadline deadline) {
        return find(prefix, digest, deadline)
                .flatMap(found -> found.<Result<byte[], VersionError>>map(Result::ok)
                        .orElseGet(() -> Result.err(
                                new VersionError.Damaged("the store lacks " + prefix + digest.abbreviated()))));
    }

    /** Reads a value, if it is there, and checks it against its hash. */
    Result<Optional<byte[]>, VersionError> find(String prefix, Digest digest, Deadline deadline) {
        return store.get(key(prefix, digest), deadline)
                .mapError(VersionError::ofRead)
                .flatMap(found -> {
                    if (found.isPresent() && !Digest.of(found.get().value()).equals(digest)) {
                        return Result.err(
                                new VersionError.Damaged(prefix + digest.abbreviated() + " has other content"));
                    }
                    return Result.ok(found.map(o -> o.value()));
                });
    }

    /** Writes a value under its hash; empty on success. */
    Optional<VersionError> write(String prefix, Digest digest, byte[] value, Deadline deadline) {
        // Content under its own hash is the same whoever wrote it, so a write that was answered
        // "exists already" is as good as one that succeeded.
        return switch (store.put(key(prefix, digest), value, new Precondition.MustBeAbsent(), deadline)) {
            case Result.Ok<Long, StoreError> ignored -> Optional.empty();
            case Result.Err<Long, StoreError>(StoreError.PreconditionFailed ignored) -> Optional.empty();
            case Result.Err<Long, StoreError>(StoreError error) -> Optional.of(VersionError.ofRead(error));
        };
    }

    /** Removes a value; a failure leaves it, which costs space alone. */
    void remove(String prefix, Digest digest, Deadline deadline) {
        store.delete(key(prefix, digest), new Precondition.None(), deadline);
    }

    private static ObjectKey key(String prefix, Digest digest) {
        return new ObjectKey(prefix + digest.hex());
    }
}

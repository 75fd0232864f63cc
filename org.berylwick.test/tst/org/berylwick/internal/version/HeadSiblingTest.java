package org.berylwick.internal.version;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.internal.version.VersionRepository.Watched;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.MemoryStore;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.Precondition;
import org.berylwick.transport.StoreInterceptor;
import org.junit.jupiter.api.Test;

/**
 * Another program leaves an object whose key begins with that of the head, such as a copy. A watch takes a prefix, and
 * took the object for the head: a watch failed for good, or a version came into force that nobody accepted.
 */
class HeadSiblingTest {
    private final MemoryStore store = new MemoryStore(TimeSource.SYSTEM, new StoreInterceptor() {});
    private final VersionRepository repository = new VersionRepository(store);

    private long put(String key, byte[] value) {
        return ((Result.Ok<Long, ?>) store.put(new ObjectKey(key), value, new Precondition.None(), deadline())).value();
    }

    private static Deadline deadline() {
        return Deadline.afterMillis(TimeSource.SYSTEM, 300);
    }

    private static byte[] head(long number) {
        Digest digest = Digest.of(new byte[] {(byte) number});
        return ConfigurationCodec.encode(new Head(number, digest.hex(), "op", digest.hex()));
    }

    private Result<Optional<Long>, VersionError> watch(long after) {
        return repository
                .watchHead(after, deadline())
                .map(Watched::head)
                .map(found -> found.map(AcceptedHead::id).map(id -> id.number()));
    }

    @Test
    void onlyTheHeadIsFollowed() {
        long before = put("config/head", head(1));
        put("config/head", head(2));
        put("config/head-old", "[[".getBytes(StandardCharsets.UTF_8));
        assertEquals(Result.ok(Optional.of(2L)), watch(before));
        long last = put("config/head.bak", head(9));
        assertEquals(Result.ok(Optional.of(2L)), watch(before));
        put("config/head/copy", head(8));
        assertEquals(Result.ok(Optional.empty()), watch(last));
    }
}

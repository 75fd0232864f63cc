package org.berylwick.bench.version;

import java.util.Optional;
import org.berylwick.errors.StoreError;
import org.berylwick.transport.StoreCall;
import org.berylwick.transport.StoreInterceptor;

/** Counts the calls that reach a store, and the bytes that they write; for one thread. */
final class CallCount implements StoreInterceptor {
    private int reads;
    private int writes;
    private long bytesWritten;

    @Override
    public Optional<StoreError> before(StoreCall call) {
        if (call.isWrite()) {
            writes++;
            bytesWritten += call.write().map(w -> w.value().length).orElse(0);
        } else {
            reads++;
        }
        return Optional.empty();
    }

    void reset() {
        reads = 0;
        writes = 0;
        bytesWritten = 0;
    }

    int reads() {
        return reads;
    }

    int writes() {
        return writes;
    }

    long bytesWritten() {
        return bytesWritten;
    }
}

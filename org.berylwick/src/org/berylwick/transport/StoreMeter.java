package org.berylwick.transport;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counts what a process costs the platform's store. */
public final class StoreMeter {
    /** Counter: calls to the store, a waiting watch as one. */
    public static final String CALLS = "store.calls";

    /** Counter: bytes sent to the store. */
    public static final String BYTES_SENT = "store.bytes.sent";

    /** Counter: bytes received from the store. */
    public static final String BYTES_RECEIVED = "store.bytes.received";

    private final Counter calls;
    private final WireMeter wire;

    /** Counts in {@code metrics}. */
    public StoreMeter(MetricRegistry metrics) {
        calls = metrics.counter(CALLS);
        wire = new WireMeter(metrics.counter(BYTES_SENT), metrics.counter(BYTES_RECEIVED));
    }

    /** One call begins. */
    void call() {
        calls.inc();
    }

    /** What sees the bytes of connections. */
    WireMeter wire() {
        return wire;
    }
}

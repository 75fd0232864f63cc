package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.stream.StreamMessage;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;

/**
 * Keeps the time limit of one exchange: first for the head of its answer, then for the rest.
 *
 * <p>A bulk transfer's limit is moved on whenever some of its body moves, in either direction.
 */
final class ExchangeTimeout {
    private static final int EXTENSIONS_PER_STALL_TIMEOUT = 8;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TransferLimit transferLimit;
    private final TimeSource time;
    private volatile Exchange exchange;
    private long nextExtensionNanos;

    ExchangeTimeout(TransferLimit limit, TimeSource time) {
        this.transferLimit = limit;
        this.time = time;
    }

    /** The request with its body watched, if that matters. */
    HttpRequest trackProgress(HttpRequest request) {
        return transferLimit instanceof TransferLimit.StallTimeout ? request.peekData(d -> onProgress()) : request;
    }

    /** The exchange whose limit is kept. */
    void start(Exchange begun) {
        exchange = begun;
        nextExtensionNanos = time.nanoTime();
    }

    /** The head is there; returns the body to pass on. */
    StreamMessage<HttpData> onResponseHead(StreamMessage<HttpData> body) {
        return switch (transferLimit) {
            case TransferLimit.CompletionDeadline(Deadline by) -> {
                exchange.extendResponseTimeout(by.remainingMillis(time));
                yield body;
            }
            case TransferLimit.StallTimeout p -> {
                onProgress();
                yield body.peek(d -> onProgress());
            }
        };
    }

    private void onProgress() {
        if (exchange == null || !(transferLimit instanceof TransferLimit.StallTimeout p)) {
            return;
        }
        long now = time.nanoTime();
        if (now - nextExtensionNanos < 0) {
            return;
        }
        nextExtensionNanos = now + p.stallMillis() * NANOS_PER_MILLI / EXTENSIONS_PER_STALL_TIMEOUT;
        long callerMillis = p.callerDeadline().map(by -> by.remainingMillis(time)).orElse(Long.MAX_VALUE);
        exchange.extendResponseTimeout(Math.min(p.stallMillis(), callerMillis));
    }
}

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

    ExchangeTimeout(TransferLimit transferLimit, TimeSource time) {
        this.transferLimit = transferLimit;
        this.time = time;
    }

    /** The request with its body watched, if that matters. */
    HttpRequest trackProgress(HttpRequest request) {
        return transferLimit instanceof TransferLimit.StallTimeout ? request.peekData(data -> onProgress()) : request;
    }

    /** The exchange whose limit is kept. */
    void start(Exchange startedExchange) {
        exchange = startedExchange;
        nextExtensionNanos = time.nanoTime();
    }

    /** The head is there; returns the body to pass on. */
    StreamMessage<HttpData> onResponseHead(StreamMessage<HttpData> body) {
        return switch (transferLimit) {
            case TransferLimit.CompletionDeadline(Deadline deadline) -> {
                exchange.extendResponseTimeout(deadline.remainingMillis(time));
                yield body;
            }
            case TransferLimit.StallTimeout stall -> {
                onProgress();
                yield body.peek(data -> onProgress());
            }
        };
    }

    private void onProgress() {
        if (exchange == null || !(transferLimit instanceof TransferLimit.StallTimeout stall)) {
            return;
        }
        long now = time.nanoTime();
        if (now - nextExtensionNanos < 0) {
            return;
        }
        nextExtensionNanos = now + stall.stallMillis() * NANOS_PER_MILLI / EXTENSIONS_PER_STALL_TIMEOUT;
        long callerRemainingMillis = stall.callerDeadline()
                .map(deadline -> deadline.remainingMillis(time))
                .orElse(Long.MAX_VALUE);
        exchange.extendResponseTimeout(Math.min(stall.stallMillis(), callerRemainingMillis));
    }
}

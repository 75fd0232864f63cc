package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.stream.StreamMessage;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;

/**
 * Adjusts the response timeout of one exchange: the initial timeout applies to the head of the response, then the
 * transfer limit applies to the body.
 *
 * <p>With a stall timeout, used for bulk transfers, the timeout is extended whenever body data is transferred in either
 * direction.
 */
final class ExchangeTimeout {
    /** Maximum number of extensions within one stall timeout, so that not every piece of data resets the timer. */
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

    /** Returns the request; with a stall timeout, sending its body extends the timeout. */
    HttpRequest trackProgress(HttpRequest request) {
        return transferLimit instanceof TransferLimit.StallTimeout ? request.peekData(data -> onProgress()) : request;
    }

    /** Sets the exchange whose timeout is adjusted. */
    void start(Exchange startedExchange) {
        exchange = startedExchange;
        nextExtensionNanos = time.nanoTime();
    }

    /** Applies the transfer limit when the response head has arrived; returns the body to forward. */
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

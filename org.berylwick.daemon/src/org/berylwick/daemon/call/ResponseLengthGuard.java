package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.stream.CancelledSubscriptionException;
import com.linecorp.armeria.common.stream.FilteredStreamMessage;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.util.OptionalLong;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.reactivestreams.Subscriber;

/**
 * A body that may only end cleanly with as many bytes as its head announced.
 *
 * <p>A short body that ended cleanly would look whole to a caller that reads to the end of the stream; here it ends
 * with an error, which the caller sees as a reset.
 */
final class ResponseLengthGuard extends FilteredStreamMessage<HttpData, HttpData> {
    /** Hears of a body that ended in error. */
    @FunctionalInterface
    interface ErrorListener {
        /** The body ended after {@code passed} bytes. */
        void bodyFailed(long deliveredBytes, Throwable failure);
    }

    private final String requestId;
    private final OptionalLong contentLength;
    private final Invariants invariants;
    private final ErrorListener errorListener;
    private long deliveredBytes;

    /**
     * Guards a body.
     *
     * @param contentLength its length in bytes, if its head announced one
     * @param errorListener is told of an error before the caller's connection is closed for it
     */
    ResponseLengthGuard(
            String requestId,
            StreamMessage<HttpData> body,
            OptionalLong contentLength,
            Invariants invariants,
            ErrorListener errorListener) {
        super(body, true);
        this.errorListener = errorListener;
        this.requestId = requestId;
        this.contentLength = contentLength;
        this.invariants = invariants;
    }

    @Override
    protected HttpData filter(HttpData data) {
        deliveredBytes += data.length();
        return data;
    }

    @Override
    protected Throwable beforeError(Subscriber<? super HttpData> subscriber, Throwable cause) {
        errorListener.bodyFailed(deliveredBytes, cause);
        return cause;
    }

    @Override
    protected void onCancellation(Subscriber<? super HttpData> subscriber) {
        errorListener.bodyFailed(deliveredBytes, CancelledSubscriptionException.get());
    }

    @Override
    protected void beforeComplete(Subscriber<? super HttpData> subscriber) {
        boolean lengthMatches = contentLength.isEmpty() || contentLength.getAsLong() == deliveredBytes;
        invariants.check(
                Invariant.OWN_WHOLE_ANSWER,
                lengthMatches,
                () -> "answer to " + requestId + " has " + deliveredBytes + " bytes, announced " + contentLength);
        if (!lengthMatches) {
            throw new IllegalStateException("the answer has " + deliveredBytes + " bytes, announced " + contentLength);
        }
    }
}

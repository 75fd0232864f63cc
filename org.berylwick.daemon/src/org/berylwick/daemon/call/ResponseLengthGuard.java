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
 * A response body that completes successfully only if its length matches the announced {@code Content-Length}.
 *
 * <p>If a truncated body completed successfully, a caller that reads to the end of the stream would take it for a
 * complete one. Here it fails instead, and the caller sees its connection or stream being reset.
 */
final class ResponseLengthGuard extends FilteredStreamMessage<HttpData, HttpData> {
    /** Notified of a body that failed or was cancelled. */
    @FunctionalInterface
    interface ErrorListener {
        /** Called when the body has failed or was cancelled after {@code deliveredBytes} bytes. */
        void bodyFailed(long deliveredBytes, Throwable failure);
    }

    private final String requestId;
    private final OptionalLong contentLength;
    private final Invariants invariants;
    private final ErrorListener errorListener;
    private long deliveredBytes;

    /**
     * Creates a guarded body.
     *
     * @param contentLength length of the body in bytes, if the response headers announced it
     * @param errorListener notified of a failure before the caller's connection is closed because of it
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
                () -> "response to request " + requestId + " has " + deliveredBytes + " bytes, announced "
                        + contentLength);
        if (!lengthMatches) {
            throw new IllegalStateException(
                    "response body has " + deliveredBytes + " bytes, announced " + contentLength);
        }
    }
}

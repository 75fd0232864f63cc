package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.FilteredStreamMessage;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.util.OptionalLong;
import org.reactivestreams.Subscriber;

/**
 * Fails a response body that ends with fewer or more bytes than its Content-Length.
 *
 * <p>In 3 of 304 runs on a busy machine, with ten chained calls that all reached their deadline at the same time, a
 * body of 89 bytes ended after 0 bytes without an error. The check is applied directly at the connection, so that such
 * a body fails there and can be requested again before the caller has received the start of its response.
 */
final class ContentLengthCheck extends FilteredStreamMessage<HttpData, HttpData> {
    private final long expectedBytes;
    private long receivedBytes;

    private ContentLengthCheck(StreamMessage<HttpData> body, long expectedBytes) {
        super(body, true);
        this.expectedBytes = expectedBytes;
    }

    /** Returns the body with its length checked, or unchanged if the expected length is not known. */
    static StreamMessage<HttpData> wrap(HttpMethod method, ResponseHeaders head, StreamMessage<HttpData> body) {
        OptionalLong expectedLength = expectedLength(method, head);
        return expectedLength.isPresent() ? new ContentLengthCheck(body, expectedLength.getAsLong()) : body;
    }

    /** Returns the number of body bytes to expect; empty without Content-Length and for responses that have no body. */
    static OptionalLong expectedLength(HttpMethod method, ResponseHeaders head) {
        boolean lengthNotApplicable =
                method == HttpMethod.HEAD || head.status().equals(HttpStatus.NOT_MODIFIED) || head.contentLength() < 0;
        return lengthNotApplicable ? OptionalLong.empty() : OptionalLong.of(head.contentLength());
    }

    @Override
    protected HttpData filter(HttpData data) {
        receivedBytes += data.length();
        return data;
    }

    @Override
    protected void beforeComplete(Subscriber<? super HttpData> subscriber) {
        if (receivedBytes != expectedBytes) {
            throw new IllegalStateException(
                    "response body has " + receivedBytes + " bytes, Content-Length is " + expectedBytes);
        }
    }
}

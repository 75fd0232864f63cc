package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.util.concurrent.CompletableFuture;

/**
 * An answer whose head is there and whose body still streams.
 *
 * @param headers its head
 * @param body passes at the pace of whoever reads it; fails if the answer was cut
 * @param trailers complete after the body
 */
record StreamedResponse(
        ResponseHeaders headers, StreamMessage<HttpData> body, CompletableFuture<HttpHeaders> trailers) {
    /** This answer with another head. */
    StreamedResponse withHeaders(ResponseHeaders newHeaders) {
        return new StreamedResponse(newHeaders, body, trailers);
    }

    /** This answer with another body. */
    StreamedResponse withBody(StreamMessage<HttpData> newBody) {
        return new StreamedResponse(headers, newBody, trailers);
    }

    /** The response that says the same. */
    HttpResponse toHttpResponse() {
        if (!headers.contains(HttpHeaderNames.TRAILER)) {
            return HttpResponse.of(headers, body);
        }
        StreamMessage<HttpObject> trailerStream = StreamMessage.of(trailers.thenApply(
                t -> t.isEmpty() ? StreamMessage.<HttpObject>of() : StreamMessage.<HttpObject>of(t)));
        return HttpResponse.of(headers, StreamMessage.concat(body, trailerStream));
    }
}

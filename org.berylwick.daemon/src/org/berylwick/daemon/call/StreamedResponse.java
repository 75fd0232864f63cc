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
 * A response whose headers have arrived and whose body is still being streamed.
 *
 * @param headers response headers
 * @param body response body, with backpressure from its subscriber; fails if the response was truncated
 * @param trailers completes after the body
 */
record StreamedResponse(
        ResponseHeaders headers, StreamMessage<HttpData> body, CompletableFuture<HttpHeaders> trailers) {
    /** Returns this response with other headers. */
    StreamedResponse withHeaders(ResponseHeaders newHeaders) {
        return new StreamedResponse(newHeaders, body, trailers);
    }

    /** Returns this response with another body. */
    StreamedResponse withBody(StreamMessage<HttpData> newBody) {
        return new StreamedResponse(headers, newBody, trailers);
    }

    /** Converts to a response of the server library. Trailers are sent only if the headers announce them. */
    HttpResponse toHttpResponse() {
        if (!headers.contains(HttpHeaderNames.TRAILER)) {
            return HttpResponse.of(headers, body);
        }
        StreamMessage<HttpObject> trailerStream = StreamMessage.of(trailers.thenApply(
                t -> t.isEmpty() ? StreamMessage.<HttpObject>of() : StreamMessage.<HttpObject>of(t)));
        return HttpResponse.of(headers, StreamMessage.concat(body, trailerStream));
    }
}

package org.berylwick.daemon.call;

import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.ResponseTimeoutMode;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.util.TimeoutMode;
import io.netty.channel.Channel;
import java.time.Duration;

/**
 * One HTTP request that was passed to the client library, with its response and transport state.
 *
 * @param response streaming response
 * @param context client-side context of the request
 */
record Exchange(HttpResponse response, ClientRequestContext context) {
    /** Detail of the unknown outcome of an attempt whose response timed out; also sent to other daemons. */
    static final String RESPONSE_TIMEOUT_DETAIL = "no answer in time";

    /**
     * Sends a request.
     *
     * <p>The response is consumed on the event loop of its connection. Reading from a connection is paused while too
     * much of a body is buffered, and resumed when the buffer was consumed. If these ran on different threads, the
     * resume could be processed before the pause and the transfer would stall permanently.
     *
     * @param timeoutMillis time until the response must be complete, including the wait for a connection
     */
    static Exchange start(WebClient client, HttpRequest request, long timeoutMillis) {
        RequestOptions options = RequestOptions.builder()
                .responseTimeoutMillis(Math.max(1, timeoutMillis))
                .responseTimeoutMode(ResponseTimeoutMode.FROM_START)
                .build();
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            HttpResponse response = client.execute(request, options);
            ClientRequestContext context = captor.get();
            return new Exchange(response.subscribeOn(context.eventLoop().withoutContext()), context);
        }
    }

    /**
     * Returns whether the peer's application code can't have received any part of the request.
     *
     * <p>The client library reports a request as unprocessed if no connection could be established, if writing its head
     * failed, if the peer refused its HTTP/2 stream, or if the peer's GOAWAY frame excluded the stream. A peer does not
     * process a request whose head was not written completely.
     */
    static boolean isUnprocessed(Throwable failure) {
        return failure instanceof UnprocessedRequestException;
    }

    /** Returns the detail of the unknown outcome of an attempt that failed with {@code failure}. */
    static String describe(Throwable failure) {
        return failure instanceof ResponseTimeoutException
                ? RESPONSE_TIMEOUT_DETAIL
                : failure.getClass().getSimpleName();
    }

    /** Returns whether the head of the request was passed to the connection. */
    boolean isHeadSent() {
        return context.log().partial().requestFirstBytesTransferredTimeNanos() != null;
    }

    /** Returns whether a response head that was received on the connection belongs to the request. */
    boolean isAnsweredBy(ResponseHeaders headers, String requestId) {
        Channel channel = context.log().partial().channel();
        return channel != null && RequestIdEcho.matches(channel, headers, requestId);
    }

    /** Records that the request was shed, so that it isn't sent on the same connection again. */
    void onShed(String requestId) {
        Channel channel = context.log().partial().channel();
        if (channel != null) {
            ShedRequests.add(channel, requestId);
        }
    }

    /** Sets the response timeout to {@code millis} from now, at least 1 ms. */
    void extendResponseTimeout(long millis) {
        context.setResponseTimeout(TimeoutMode.SET_FROM_NOW, Duration.ofMillis(Math.max(1, millis)));
    }

    /** Closes the connection of the request, so that nothing more is read from it. */
    void closeConnection() {
        Channel channel = context.log().partial().channel();
        if (channel != null) {
            channel.close();
        }
    }
}

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
import com.linecorp.armeria.common.util.TimeoutMode;
import io.netty.channel.Channel;
import java.time.Duration;

/**
 * One request on the wire, with what its connection tells about it.
 *
 * @param response streams once subscribed to
 * @param context of the request at the client
 */
record Exchange(HttpResponse response, ClientRequestContext context) {
    /** What is said of an attempt whose answer did not come in its time. */
    static final String RESPONSE_TIMEOUT_DETAIL = "no answer in time";

    /**
     * Sends a request.
     *
     * <p>Its answer is taken from its connection on that connection's own thread. A connection stops being read while
     * much of a body waits to be taken, and is read on when that was taken; with the two on different threads "read on"
     * could come before "stop", and the transfer stood still for good.
     *
     * @param timeoutMillis from now until the whole response is there, waiting for a connection included
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
     * Tells whether the peer's code cannot have seen any of the request.
     *
     * <p>The client library calls a request unprocessed when no connection could be had, when the write of its head
     * failed, when the peer refused its HTTP/2 stream, and when the peer's GOAWAY excluded the stream. A head that is
     * not wholly written is no request to the peer.
     */
    static boolean isUnprocessed(Throwable failure) {
        return failure instanceof UnprocessedRequestException;
    }

    /** What is said of an attempt that failed so. */
    static String describe(Throwable failure) {
        return failure instanceof ResponseTimeoutException
                ? RESPONSE_TIMEOUT_DETAIL
                : failure.getClass().getSimpleName();
    }

    /** Tells whether the head of the request was handed to the connection. */
    boolean isHeadSent() {
        return context.log().partial().requestFirstBytesTransferredTimeNanos() != null;
    }

    /** Gives the response this much longer, from now. */
    void extendResponseTimeout(long millis) {
        context.setResponseTimeout(TimeoutMode.SET_FROM_NOW, Duration.ofMillis(Math.max(1, millis)));
    }

    /** Closes the connection that the request went over, so that nothing more is read from it. */
    void closeConnection() {
        Channel channel = context.log().partial().channel();
        if (channel != null) {
            channel.close();
        }
    }
}

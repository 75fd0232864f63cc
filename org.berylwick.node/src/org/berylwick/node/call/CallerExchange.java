package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.Consumer;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.transport.RequestBody;

/**
 * One request of a caller and the response to it; confined to the event loop.
 *
 * <p>The response is written once the exchange is the head of its connection's queue; until then it is kept, and a
 * streamed one is paused.
 */
final class CallerExchange implements ResponseSink, Consumer<RequestAdmission.Result> {
    /** Response to a request whose streamed response was truncated before any of it was written. */
    private static final int STATUS_TRUNCATED = 502;
    /** Retry-After of the refusals of a node that stops. */
    private static final double STOPPING_RETRY_AFTER_S = 0.3;

    private final EntryHandler connection;
    private final EntryServices services;
    private final HttpRequest request;
    private final RequestBody body;
    private boolean keepAlive;
    private boolean repeatable;
    private CallHandle call;
    private HeldResponse held;
    private int heldBytes;
    private boolean streamBegun;
    /** Whether the response is complete, or nobody waits for it any more. */
    private boolean ended;

    private long waitedNanos;
    private long admissionStartedAt;
    private CallerExchange next;

    /**
     * @param connection connection that the request arrived on
     * @param services what all connections share
     * @param request head of the request
     * @param body body, complete or still being received; released when the exchange ends
     */
    CallerExchange(EntryHandler connection, EntryServices services, HttpRequest request, RequestBody body) {
        this.connection = connection;
        this.services = services;
        this.request = request;
        this.body = body;
        this.keepAlive = HttpUtil.isKeepAlive(request);
    }

    CallerExchange next() {
        return next;
    }

    void setNext(CallerExchange following) {
        next = following;
    }

    /** Whether the connection stays open after this response, as far as is known. */
    boolean isKeepAlive() {
        return keepAlive;
    }

    void closeAfterResponse() {
        keepAlive = false;
    }

    /** Whether the request is known to be one that may run more than once, so that others may start behind it. */
    boolean isRepeatable() {
        return repeatable;
    }

    /** Records that the request may run more than once. */
    void markRepeatable() {
        repeatable = true;
    }

    /** Adds time for which the request waited for those ahead of it; its deadline counts from before. */
    void addWait(long nanos) {
        waitedNanos += nanos;
    }

    HttpRequest request() {
        return request;
    }

    /** Bytes of the body, and of the response as far as it waits. */
    long keptBytes() {
        return body.length() + heldBytes;
    }

    /** Whether the response can be written completely once it is its turn. */
    boolean hasCompleteResponse() {
        return held != null && held.isEnded();
    }

    /** Whether a part of the response has been written. */
    boolean hasBegunStream() {
        return streamBegun;
    }

    /** Starts the call if the request is admitted. The response may be sent before this method returns. */
    void start() {
        admissionStartedAt = System.nanoTime();
        services.admission().decide(request, this);
    }

    /** Refuses the request because the node stops. */
    void refuseAsStopping() {
        respondWithoutCall(503, RetryAfter.headers(STOPPING_RETRY_AFTER_S));
    }

    @Override
    public void accept(RequestAdmission.Result result) {
        switch (result) {
            case RequestAdmission.Result.Admitted admitted
            when ended -> admitted.admission().permit().release();
            case RequestAdmission.Result.Admitted admitted
            when mayOutlastShutdown(admitted) -> {
                admitted.admission().permit().release();
                services.counters().increment(NodeMetricNames.ENTRY_REFUSED);
                refuseAsStopping();
            }
            case RequestAdmission.Result.Admitted admitted -> startCall(admitted);
            case RequestAdmission.Result.Denied denied -> respondWithoutCall(denied.status(), Headers.empty());
            case RequestAdmission.Result.Refused refused ->
                respondWithoutCall(refused.status(), RetryAfter.headers(refused.retryAfterSeconds()));
        }
    }

    private boolean mayOutlastShutdown(RequestAdmission.Result.Admitted admitted) {
        return services.callFactory().mayOutlastShutdown(admitted.admission().route(), request.headers());
    }

    private void startCall(RequestAdmission.Result.Admitted admitted) {
        addWait(System.nanoTime() - admissionStartedAt);
        repeatable = admitted.admission().route().kind().isRetryable();
        EntryCallFactory.CallerRequest callerRequest = new EntryCallFactory.CallerRequest(
                request.method(), request.uri(), request.headers(), body, waitedNanos);
        call = services.callFactory().create(admitted.version(), admitted.admission(), callerRequest, this);
        call.start();
        if (repeatable) {
            connection.processInput();
        }
    }

    private void respondWithoutCall(int status, HttpHeaders headers) {
        if (!ended) {
            body.release();
            respond(status, headers, Unpooled.EMPTY_BUFFER);
        }
    }

    /** Ends the exchange with an error, whatever its call does, and closes the connection after it. */
    void reject(int status) {
        endCall();
        keepAlive = false;
        respond(status, Headers.empty(), Unpooled.EMPTY_BUFFER);
    }

    @Override
    public void respond(int status, HttpHeaders headers, ByteBuf responseBody) {
        markEnded();
        boolean headRequest = HttpMethod.HEAD.equals(request.method());
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                headRequest ? Unpooled.EMPTY_BUFFER : responseBody,
                headers,
                EmptyHttpHeaders.INSTANCE);
        if (headRequest) {
            responseBody.release();
        }
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (connection.queue().head() == this) {
            connection.finish(this, response);
        } else {
            hold(response, response.content().readableBytes());
        }
    }

    private void hold(HttpResponse response, int bytes) {
        held = new HeldResponse(services.callFactory().responseBufferBudget(), response);
        onHeld(bytes);
    }

    private void onHeld(int bytes) {
        heldBytes += bytes;
        connection.queue().onResponseKept(bytes);
    }

    @Override
    public void beginStream(int status, HttpHeaders headers) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        HttpUtil.setTransferEncodingChunked(response, true);
        if (connection.queue().head() == this) {
            streamBegun = true;
            connection.beginStream(this, response);
        } else {
            hold(response, 0);
        }
    }

    @Override
    public boolean writePart(ByteBuf part) {
        if (held == null) {
            return connection.writePart(part);
        }
        onHeld(part.readableBytes());
        held.add(part);
        return false;
    }

    @Override
    public void endStream() {
        markEnded();
        if (held == null) {
            connection.finish(this, LastHttpContent.EMPTY_LAST_CONTENT);
        } else {
            held.end();
        }
    }

    @Override
    public void abortStream() {
        markEnded();
        if (held == null) {
            connection.abort();
            return;
        }
        releaseHeld();
        respond(STATUS_TRUNCATED, Headers.empty(), Unpooled.EMPTY_BUFFER);
    }

    /** Writes what was kept, since the responses ahead have been written. */
    void onHead() {
        if (held == null) {
            return;
        }
        HeldResponse response = held;
        held = null;
        streamBegun = true;
        response.writeTo(connection, this);
        if (!ended) {
            call.setAutoRead(connection.isWritable());
        }
    }

    private void markEnded() {
        ended = true;
        call = null;
    }

    /** Ends the exchange without a response, because the connection is closed. */
    void abandon() {
        endCall();
        releaseHeld();
    }

    private void endCall() {
        if (ended) {
            return;
        }
        CallHandle current = call;
        markEnded();
        if (current == null) {
            body.release();
        } else {
            current.abandon();
        }
    }

    private void releaseHeld() {
        if (held != null) {
            held.release();
            held = null;
        }
    }

    /** Makes the call end by a given time, because the process is being shut down. */
    void concludeBy(long concludeAt) {
        if (call != null) {
            call.concludeBy(concludeAt);
        }
    }

    /** Resumes or pauses a response that is being streamed; only for the head of the queue. */
    void setAutoRead(boolean autoRead) {
        if (call != null) {
            call.setAutoRead(autoRead);
        }
    }
}

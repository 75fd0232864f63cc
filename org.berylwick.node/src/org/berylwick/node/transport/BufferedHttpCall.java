package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An HTTP call with a timeout whose response is buffered completely, up to a limit; confined to the event loop.
 *
 * <p>Without the limit, a server that sends a body without end would use up the memory of the process before the
 * timeout.
 */
public final class BufferedHttpCall implements HttpResponseHandler {
    private final ConnectionPool pool;
    private final HttpRequest request;
    private final byte[] body;
    private final int maxResponseBytes;
    private final Consumer<Result> onResult;
    private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();
    private ServerConnection connection;
    private int status;
    private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
    private boolean finished;

    /** The result of a call. */
    public sealed interface Result {
        /** The complete response. */
        record Completed(int status, HttpHeaders headers, byte[] body) implements Result {}

        /** No complete response arrived; the server may still have executed the request. */
        record Failed(String cause) implements Result {}
    }

    private BufferedHttpCall(
            ConnectionPool pool, HttpRequest request, byte[] body, int maxResponseBytes, Consumer<Result> onResult) {
        this.pool = pool;
        this.request = request;
        this.body = body;
        this.maxResponseBytes = maxResponseBytes;
        this.onResult = onResult;
    }

    /**
     * Starts a call.
     *
     * @param loop event loop on which the pool and the call run
     * @param pool pool of connections to the server
     * @param request head of the request, without Content-Length
     * @param body body of the request, empty for none
     * @param timeoutMillis time after which the call fails
     * @param maxResponseBytes length of the response body above which the call fails
     * @param onResult receives the result, once
     */
    public static void start(
            EventLoop loop,
            ConnectionPool pool,
            HttpRequest request,
            byte[] body,
            long timeoutMillis,
            int maxResponseBytes,
            Consumer<Result> onResult) {
        BufferedHttpCall call = new BufferedHttpCall(pool, request, body, maxResponseBytes, onResult);
        loop.schedule(call::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
        pool.acquire(Long.MAX_VALUE, call::send, call::fail);
    }

    private void send(ServerConnection serverConnection) {
        if (finished) {
            serverConnection.returnUnused();
            return;
        }
        connection = serverConnection;
        HttpConnection.setContentLength(request, body.length);
        serverConnection.send(request, RequestBody.of(Unpooled.wrappedBuffer(body)), this);
    }

    @Override
    public void onHead(HttpResponse head) {
        status = head.status().code();
        headers = head.headers();
    }

    @Override
    public void onBody(ByteBuf part) {
        if (responseBody.size() + part.readableBytes() > maxResponseBytes) {
            part.release();
            abort("response body exceeds " + maxResponseBytes + " bytes");
            return;
        }
        byte[] bytes = new byte[part.readableBytes()];
        part.readBytes(bytes);
        part.release();
        responseBody.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        connection = null;
        finish(new Result.Completed(status, headers, responseBody.toByteArray()));
    }

    @Override
    public void onFailure(String cause) {
        connection = null;
        fail(cause);
    }

    private void fail(String cause) {
        finish(new Result.Failed(cause));
    }

    private void onTimeout() {
        if (!finished) {
            abort("no response before the timeout");
        }
    }

    private void abort(String cause) {
        if (connection != null) {
            connection.abort();
            connection = null;
        }
        fail(cause);
    }

    private void finish(Result result) {
        if (finished) {
            return;
        }
        finished = true;
        onResult.accept(result);
    }
}

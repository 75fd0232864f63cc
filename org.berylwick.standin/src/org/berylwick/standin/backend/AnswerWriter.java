package org.berylwick.standin.backend;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.concurrent.TimeUnit;

/**
 * Streams content of any length, one chunk at a time: the next one is made once the last was taken.
 *
 * <p>Runs on the request's event loop.
 */
final class AnswerWriter {
    private static final int CHUNK_BYTES = 16 << 10;

    private final ServiceRequestContext ctx;
    private final HttpResponseWriter writer = HttpResponse.streaming();
    private final Content content;
    private final long end;
    private final long cutAt;
    private final long pauseNanos;
    private long offset;

    /**
     * A writer of one answer.
     *
     * @param range what to send
     * @param bytesPerSecond 0 for as fast as they are taken
     * @param cut whether to close the connection after half of it
     */
    AnswerWriter(ServiceRequestContext ctx, Content content, ByteRange range, long bytesPerSecond, boolean cut) {
        this.ctx = ctx;
        this.content = content;
        offset = range.first();
        end = range.last() + 1;
        cutAt = cut ? range.first() + range.length() / 2 : Long.MAX_VALUE;
        pauseNanos = bytesPerSecond == 0 ? 0 : TimeUnit.SECONDS.toNanos(1) * CHUNK_BYTES / bytesPerSecond;
    }

    HttpResponse start(ResponseHeaders headers) {
        writer.write(headers);
        writer.whenConsumed().thenRunAsync(this::next, ctx.eventLoop());
        return writer;
    }

    private void next() {
        if (!writer.isOpen()) {
            return;
        }
        if (offset >= cutAt) {
            ctx.log().partial().channel().close();
            return;
        }
        int length = (int) Math.min(CHUNK_BYTES, Math.min(end, cutAt) - offset);
        byte[] chunk = new byte[length];
        content.fill(chunk, offset);
        offset += length;
        if (!writer.tryWrite(HttpData.wrap(chunk))) {
            return;
        }
        if (offset >= end) {
            writer.close();
            return;
        }
        if (pauseNanos > 0) {
            ctx.eventLoop().schedule(this::next, pauseNanos, TimeUnit.NANOSECONDS);
        } else {
            writer.whenConsumed().thenRunAsync(this::next, ctx.eventLoop());
        }
    }
}

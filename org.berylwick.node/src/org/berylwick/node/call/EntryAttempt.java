package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import org.berylwick.node.lib.OwnerLoad;

/**
 * Buffers the response to one attempt of an {@link EntryCall}; confined to the event loop.
 *
 * <p>A response is passed on only when it is complete, so that a truncated one can be replaced by that of another
 * attempt. A response that is too large to buffer is streamed instead.
 */
final class EntryAttempt implements AttemptListener {
    private static final int MAX_BUFFER_COMPONENTS = 1024;

    private final EntryCall call;
    private final Candidate candidate;
    private final long startedAt;
    private Attempt attempt;
    private int status;
    private HttpHeaders headers;
    private CompositeByteBuf bufferedBody;
    private int bufferedBytes;
    private boolean streaming;
    private boolean ended;

    EntryAttempt(EntryCall call, Candidate candidate, long startedAt) {
        this.call = call;
        this.candidate = candidate;
        this.startedAt = startedAt;
    }

    void setAttempt(Attempt startedAttempt) {
        attempt = startedAttempt;
    }

    Candidate candidate() {
        return candidate;
    }

    long startedAt() {
        return startedAt;
    }

    /** Whether the response has begun to arrive. */
    boolean hasHead() {
        return headers != null;
    }

    void cancel() {
        if (ended) {
            return;
        }
        markEnded();
        releaseBufferedBody();
        if (attempt != null) {
            attempt.cancel();
        }
    }

    void setAutoRead(boolean autoRead) {
        attempt.setAutoRead(autoRead);
    }

    @Override
    public void onHead(int responseStatus, HttpHeaders responseHeaders, OwnerLoad load) {
        if (ended) {
            return;
        }
        status = responseStatus;
        headers = responseHeaders;
        bufferedBody = Unpooled.compositeBuffer(MAX_BUFFER_COMPONENTS);
    }

    @Override
    public void onBody(ByteBuf part) {
        if (ended) {
            part.release();
            return;
        }
        if (streaming) {
            attempt.setAutoRead(call.sink().writePart(part));
            return;
        }
        if (call.context().responseBufferBudget().tryReserve(bufferedBytes, part.readableBytes())) {
            bufferedBytes += part.readableBytes();
            bufferedBody.addComponent(true, part);
            return;
        }
        streaming = true;
        call.onStreamingStarted(this, status, headers);
        ByteBuf bodySoFar = bufferedBody;
        bufferedBody = null;
        call.context().responseBufferBudget().release(bufferedBytes);
        bufferedBytes = 0;
        call.sink().writePart(bodySoFar);
        attempt.setAutoRead(call.sink().writePart(part));
    }

    @Override
    public void onEnd() {
        if (ended) {
            return;
        }
        markEnded();
        if (streaming) {
            call.onStreamingEnded(this, true);
            return;
        }
        ByteBuf completeBody = bufferedBody;
        bufferedBody = null;
        call.context().responseBufferBudget().release(bufferedBytes);
        bufferedBytes = 0;
        call.onResponse(this, status, headers, completeBody);
    }

    @Override
    public void onRefused(Refusal refusal) {
        if (ended) {
            return;
        }
        markEnded();
        call.onRefused(this, refusal);
    }

    @Override
    public void onLost(Loss loss) {
        if (ended) {
            return;
        }
        markEnded();
        releaseBufferedBody();
        if (streaming) {
            call.onStreamingEnded(this, false);
            return;
        }
        call.onLost(this, loss);
    }

    @Override
    public void onNodeSilent() {
        if (!ended) {
            call.onNodeSilent(this);
        }
    }

    private void markEnded() {
        ended = true;
    }

    private void releaseBufferedBody() {
        if (bufferedBody != null) {
            bufferedBody.release();
            bufferedBody = null;
            call.context().responseBufferBudget().release(bufferedBytes);
            bufferedBytes = 0;
        }
    }
}

package org.berylwick.bench.emulate;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.berylwick.node.call.ResponseSink;

/** Takes one answer. */
final class EmulatedSink implements ResponseSink {
    private final Hearer hearer;
    private boolean over;

    /** Hears an answer. */
    interface Hearer {
        /**
         * The answer is there.
         *
         * @param status of it
         * @param retryAfter in how many seconds to come back, 0 if it was not told
         * @param body of it, to be released
         */
        void onAnswer(int status, double retryAfter, ByteBuf body);
    }

    EmulatedSink(Hearer hearer) {
        this.hearer = hearer;
    }

    /** Hears nothing any more. */
    void close() {
        over = true;
    }

    @Override
    public void respond(int status, HttpHeaders headers, ByteBuf body) {
        if (over) {
            body.release();
            return;
        }
        over = true;
        hearer.onAnswer(status, Double.parseDouble(headers.get("Retry-After", "0")), body);
    }

    @Override
    public void beginStream(int status, HttpHeaders headers) {
        throw new IllegalStateException("answers are small here");
    }

    @Override
    public boolean writePart(ByteBuf bytes) {
        throw new IllegalStateException("answers are small here");
    }

    @Override
    public void endStream() {
        throw new IllegalStateException("answers are small here");
    }

    @Override
    public void abortStream() {
        throw new IllegalStateException("answers are small here");
    }
}

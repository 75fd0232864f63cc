package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.berylwick.node.lib.OwnerLoad;

/** Fails the test at whatever becomes of an attempt; a test overrides what it expects. */
abstract class UnexpectedOutcome implements AttemptListener {
    @Override
    public void onHead(int status, HttpHeaders headers, OwnerLoad load) {
        throw new AssertionError("response with status " + status);
    }

    @Override
    public void onBody(ByteBuf part) {
        part.release();
    }

    @Override
    public void onEnd() {
        throw new AssertionError("end of a response");
    }

    @Override
    public void onRefused(Refusal refusal) {
        throw new AssertionError(refusal);
    }

    @Override
    public void onLost(Loss loss) {
        throw new AssertionError(loss.cause());
    }
}

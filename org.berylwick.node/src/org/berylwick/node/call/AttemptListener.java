package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.berylwick.node.lib.OwnerLoad;

/**
 * Hears what becomes of one attempt: a head, parts and an end, or a refusal, or a loss; called on the event loop.
 *
 * <p>After an end, a refusal or a loss nothing more is told.
 */
public interface AttemptListener {
    /**
     * The backend server answers.
     *
     * @param status of its answer
     * @param headers end-to-end headers of its answer
     * @param load of its owner
     */
    void onHead(int status, HttpHeaders headers, OwnerLoad load);

    /** A part of the body; the callee releases it. */
    void onBody(ByteBuf chunk);

    /** The answer is whole. */
    void onEnd();

    /** The request was not run and will not be. */
    void onRefused(Refusal refusal);

    /** No whole answer will come, and the request may have run. */
    void onLost(String cause);

    /** Nothing was heard of the attempt's node for a while; the attempt goes on. May be told more than once. */
    default void onNodeSilent() {}
}

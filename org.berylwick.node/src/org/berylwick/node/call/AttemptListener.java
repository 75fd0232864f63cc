package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.berylwick.node.lib.OwnerLoad;

/**
 * Callbacks for the outcome of one attempt; called on the event loop.
 *
 * <p>An attempt ends with exactly one of {@link #onEnd}, {@link #onRefused} and {@link #onLost}, unless it is
 * cancelled; no callback follows. A response is delivered as {@link #onHead}, any number of {@link #onBody}, and
 * {@link #onEnd}; it breaks off with {@link #onLost}.
 */
public interface AttemptListener {
    /**
     * The backend server has begun to respond.
     *
     * @param status status code of the response
     * @param headers end-to-end headers of the response
     * @param load current load of the backend server, as its owner reports it
     */
    void onHead(int status, HttpHeaders headers, OwnerLoad load);

    /** A part of the response body; the callee has to release it. */
    void onBody(ByteBuf part);

    /** The response is complete. */
    void onEnd();

    /** The request was not run in this attempt and will not be. */
    void onRefused(Refusal refusal);

    /** The attempt failed without a complete response; the request may have run. */
    void onLost(Loss loss);

    /**
     * The node that runs the attempt has been silent for a while. The attempt goes on; may be called more than once.
     */
    default void onNodeSilent() {}
}

package org.berylwick.node.call;

/** An attempt in progress to run a request at an owner. All methods are called on the event loop. */
public interface Attempt {
    /**
     * Cancels the attempt; the backend server stops work on the request where that is possible.
     *
     * <p>A non-idempotent request that the backend server has already been sent runs to its end, since it may have had
     * an effect. The listener may then still be called and has to discard what it gets.
     */
    void cancel();

    /** Resumes ({@code true}) or pauses ({@code false}) reading the body of the response. */
    void setAutoRead(boolean autoRead);
}

package org.berylwick.node.call;

/** A caller's call that is under way; used on the event loop. */
public interface CallHandle {
    /** Sends it; its answer may come before this returns. */
    void start();

    /**
     * The process ends: the caller gets what there is by then, unless its answer is being streamed.
     *
     * @param concludeAt by when, {@link System#nanoTime} terms
     */
    void concludeBy(long concludeAt);

    /** The caller has gone. */
    void abandon();

    /** Resumes or stops the flow of an answer that is streamed. */
    void setAutoRead(boolean autoRead);
}

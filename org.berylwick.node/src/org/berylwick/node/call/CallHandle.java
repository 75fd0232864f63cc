package org.berylwick.node.call;

/** A call in progress, as seen by the caller's connection. All methods are called on the event loop. */
public interface CallHandle {
    /** Starts the call. The response may be delivered before this method returns. */
    void start();

    /**
     * Makes the call end by a given time, because the process is being shut down. The caller then gets the best final
     * response available, unless the response is being streamed: streaming may go on until the call's deadline.
     *
     * @param concludeAt time on the scale of {@link System#nanoTime}
     */
    void concludeBy(long concludeAt);

    /** Ends the call because the caller has disconnected. */
    void abandon();

    /** Resumes ({@code true}) or pauses ({@code false}) reading a response that is being streamed. */
    void setAutoRead(boolean autoRead);
}

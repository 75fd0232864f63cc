package org.berylwick.node.call;

/** One attempt under way at an owner; confined to the event loop. */
public interface Attempt {
    /** Ends it; the listener hears nothing more, and the backend server stops work on it where it can. */
    void cancel();

    /** Stops or resumes the flow of the answer's body. */
    void setAutoRead(boolean autoRead);
}

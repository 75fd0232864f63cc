package org.berylwick.node.call;

import java.util.Optional;

/** The attempts of one call that are in progress, two at most; confined to the event loop. */
final class RunningAttempts {
    private Optional<EntryAttempt> current = Optional.empty();
    /** The previous attempt, which continues beside the current one. */
    private Optional<EntryAttempt> earlier = Optional.empty();
    /** The attempt whose response is passed on as it arrives; also the current one. */
    private Optional<EntryAttempt> streaming = Optional.empty();

    Optional<EntryAttempt> current() {
        return current;
    }

    Optional<EntryAttempt> earlier() {
        return earlier;
    }

    Optional<EntryAttempt> streaming() {
        return streaming;
    }

    /** Makes a new attempt the current one. */
    void start(EntryAttempt attempt) {
        current = Optional.of(attempt);
    }

    /** Lets the current attempt continue beside the next one. */
    void keepCurrent() {
        earlier = current;
    }

    /** Makes the earlier attempt the current one again. */
    void resumeEarlier() {
        current = earlier;
        earlier = Optional.empty();
    }

    /**
     * Removes an attempt that has ended.
     *
     * @return whether it was the earlier attempt, so that the one started beside it goes on
     */
    boolean remove(EntryAttempt attempt) {
        if (earlier.isPresent() && earlier.get() == attempt) {
            earlier = Optional.empty();
            return true;
        }
        current = Optional.empty();
        return false;
    }

    /** Cancels all attempts but one, whose response is streamed from now on. */
    void stream(EntryAttempt attempt) {
        streaming = Optional.of(attempt);
        remove(attempt);
        cancelAll();
        current = streaming;
    }

    void cancelAll() {
        Optional<EntryAttempt> cancelledCurrent = current;
        Optional<EntryAttempt> cancelledEarlier = earlier;
        current = Optional.empty();
        earlier = Optional.empty();
        cancelledCurrent.ifPresent(EntryAttempt::cancel);
        cancelledEarlier.ifPresent(EntryAttempt::cancel);
    }
}

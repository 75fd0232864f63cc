package org.berylwick.node.call;

import java.util.Optional;

/** The hedge of one call, if there is one; confined to the event loop. */
interface CallHedge {
    /** For calls that are not hedged. */
    CallHedge NONE = new CallHedge() {};

    /** Called when the call starts. */
    default void onCallStarted() {}

    /** Lets the call consider a hedge when an attempt takes long. */
    default void watch(EntryAttempt attempt) {}

    /** Chooses the node for the hedge of an attempt that is due; empty if no hedge is sent. */
    default Optional<CandidateChooser.Choice> choose(NodeSelection selection, EntryAttempt first, long now) {
        return Optional.empty();
    }

    /** Called when the hedge has been sent. */
    default void onSent(EntryAttempt first, EntryAttempt hedge) {}

    /** Whether an attempt is the hedge. */
    default boolean isHedge(EntryAttempt attempt) {
        return false;
    }

    /** Called when no node has room for the request. */
    default void onShortage() {}

    /** Called when an owner has refused an attempt. */
    default void onRefused(EntryAttempt attempt, Refusal refusal) {}

    /** Called when the owner of the hedge has refused it, and the first attempt goes on as if there had been none. */
    default void onNotRun(EntryAttempt first) {}

    /**
     * Called when an attempt has ended otherwise.
     *
     * @param attempt the attempt
     * @param completed whether its response is complete or streamed
     */
    default void onEnded(EntryAttempt attempt, boolean completed) {}

    /** Called when the response to an attempt is passed on. */
    default void onAnswered(EntryAttempt attempt) {}

    /** Called when the call has ended. */
    default void onCallEnded() {}
}

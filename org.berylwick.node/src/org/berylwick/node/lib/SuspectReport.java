package org.berylwick.node.lib;

/** What a node reports to others of a request that was running when a backend server ended. */
public sealed interface SuspectReport {
    /** The request. */
    RequestFingerprint request();

    /** When it happened, on the scale of {@link System#nanoTime} of the node that holds this object. */
    long at();

    /**
     * A backend server ended while it ran the request.
     *
     * @param request the request
     * @param generation number of crashes in succession up to this one: one more than were known when the run began;
     *     between 1 and {@link #MAX_GENERATION}
     * @param incarnation hash code of the incarnation that ended; it tells a repeated report from another crash
     * @param at time of the crash
     */
    record Crashed(RequestFingerprint request, int generation, int incarnation, long at) implements SuspectReport {
        /** Largest number that is counted. */
        public static final int MAX_GENERATION = 255;

        public Crashed {
            generation = Math.max(1, Math.min(MAX_GENERATION, generation));
        }
    }

    /**
     * A backend server has completed the request, so it did not cause the crashes before.
     *
     * @param request the request
     * @param at time of completion
     */
    record Completed(RequestFingerprint request, long at) implements SuspectReport {}
}

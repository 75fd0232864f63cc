package org.berylwick.api;

import java.util.List;

/** What the logs of nodes say of one request. */
public sealed interface ExplainResult {
    /**
     * The story of the request.
     *
     * @param steps in the order in which they came about
     * @param linesRead how many lines of logs were looked at
     */
    record Story(List<Step> steps, int linesRead) implements ExplainResult {
        public Story {
            steps = List.copyOf(steps);
        }
    }

    /**
     * No line names the request.
     *
     * @param linesRead how many lines of logs were looked at
     */
    record Unknown(int linesRead) implements ExplainResult {}

    /**
     * One line of a log.
     *
     * @param millis since 1970, by the clock of the node that answered the caller
     * @param node that wrote it
     * @param event its name
     * @param own whether it is of the request itself, not of what happened around it
     * @param details its other fields, as {@code name=value} separated by blanks
     */
    record Step(long millis, String node, String event, boolean own, String details) {}
}

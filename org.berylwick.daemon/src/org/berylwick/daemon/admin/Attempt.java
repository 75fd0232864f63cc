package org.berylwick.daemon.admin;

import org.berylwick.lib.TimeSource;

/**
 * Something an operator asked for that did not become a version.
 *
 * @param atEpochMillis when it was answered
 * @param author as given by the operator
 * @param action the command's word
 * @param result one word, such as {@code conflict}
 * @param operationId names the action; empty if it has none
 * @param summary the operator's line
 * @param detail what was wrong
 */
record Attempt(
        long atEpochMillis,
        String author,
        String action,
        String result,
        String operationId,
        String summary,
        String detail) {
    static Attempt of(TimeSource time, String action, String author, String result, String detail) {
        return new Attempt(time.epochMillis(), author, action, result, "", "", detail);
    }
}

package org.berylwick.standin.backend;

import java.util.Locale;
import java.util.Optional;

/** How a backend server may spoil one answer. */
public enum AnswerFault {
    /** It comes late: after the delay that was set, whether or not the caller still waits. */
    LATE,
    /** It carries another request's id. */
    CROSSED,
    /** The connection closes after half of the body. */
    TRUNCATED,
    /** It is sent twice on the same HTTP/1.1 connection. */
    DOUBLED,
    /** The connection closes before a byte of it, though the request was run. */
    LOST,
    /** Nothing is ever sent, though the request was run; the connection stays open. */
    SILENT;

    /** Reads the lower-case name. */
    public static Optional<AnswerFault> fromWord(String word) {
        for (AnswerFault f : values()) {
            if (f.name().toLowerCase(Locale.ROOT).equals(word)) {
                return Optional.of(f);
            }
        }
        return Optional.empty();
    }
}

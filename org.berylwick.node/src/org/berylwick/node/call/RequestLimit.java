package org.berylwick.node.call;

import java.util.List;
import java.util.regex.Pattern;

/** Rate of requests that a backend server accepts, as it states it in a response. */
sealed interface RequestLimit {
    /** The backend server states no limit. */
    record None() implements RequestLimit {
        @Override
        public String toString() {
            return "none";
        }
    }

    /** The backend server accepts so many requests per second from all nodes together. */
    record PerSecond(double requests) implements RequestLimit {
        @Override
        public String toString() {
            return Double.toString(requests);
        }
    }

    /** What the backend server states is not a rate; the limit that it stated before remains. */
    record Invalid(String text) implements RequestLimit {}

    /** No limit. */
    RequestLimit NONE = new None();

    int MAX_LOGGED_CHARS = 32;

    /** Digits with an optional fraction and exponent, without the other forms that Java accepts. */
    Pattern DECIMAL = Pattern.compile("[0-9]+(\\.[0-9]+)?([eE][+-]?[0-9]+)?");

    /**
     * Parses the values of the header.
     *
     * @param values all values of the header in one response; more than one is invalid
     */
    static RequestLimit parse(List<String> values) {
        if (values.isEmpty()) {
            return NONE;
        }
        String text = String.join(", ", values).strip();
        if (!DECIMAL.matcher(text).matches()) {
            return new Invalid(text.substring(0, Math.min(MAX_LOGGED_CHARS, text.length())));
        }
        double requests = Double.parseDouble(text);
        return Double.isInfinite(requests) ? new Invalid(text) : new PerSecond(requests);
    }
}

package org.berylwick.internal.limit;

import java.util.List;
import java.util.regex.Pattern;

/** Rate of requests that a backend server accepts from all daemons together, as it states it in a response. */
public sealed interface StatedRate {
    /** The backend server states no limit. */
    record Unlimited() implements StatedRate {
        @Override
        public String toString() {
            return "any number of";
        }
    }

    /** The backend server accepts so many requests per second. */
    record PerSecond(double requests) implements StatedRate {
        @Override
        public String toString() {
            return Double.toString(requests);
        }
    }

    /** What the backend server states is not a rate; the one that it stated before remains. */
    record Invalid() implements StatedRate {}

    /** No limit. */
    StatedRate UNLIMITED = new Unlimited();

    /** Digits with an optional fraction and exponent, without the other forms that Java accepts. */
    Pattern DECIMAL = Pattern.compile("[0-9]+(\\.[0-9]+)?([eE][+-]?[0-9]+)?");

    /**
     * Parses the values of the header.
     *
     * @param values all values of the header in one response; more than one is invalid
     */
    static StatedRate parse(List<String> values) {
        if (values.isEmpty()) {
            return UNLIMITED;
        }
        String text = values.getFirst().strip();
        if (values.size() > 1 || !DECIMAL.matcher(text).matches()) {
            return new Invalid();
        }
        double requests = Double.parseDouble(text);
        return Double.isInfinite(requests) ? new Invalid() : new PerSecond(requests);
    }
}

package org.berylwick.node.call;

import java.util.OptionalDouble;

/**
 * Reads the header in which a backend server states its load: the numbers of running and waiting requests, the number
 * of its slots and, optionally, how long work takes on its VM at this moment, where 100 is usual. Values that can't be
 * right are ignored.
 */
final class BackendLoadHeader {
    private static final int SLOTS_FIELD = 2;
    private static final int SPEED_FIELD = 3;
    private static final double USUAL = 100;
    /** Bounds of a figure; more than twenty times faster or slower is taken for an error. */
    private static final double MIN_FIGURE = 5;

    private static final double MAX_FIGURE = 2_000;

    private BackendLoadHeader() {}

    /** Returns the number of slots, 0 if it is absent or invalid. */
    static int slots(String header) {
        try {
            return Math.max(0, Integer.parseInt(field(header, SLOTS_FIELD)));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Returns how many times as long as usual work takes; empty if that is absent or invalid. */
    static OptionalDouble slowdown(String header) {
        String text = field(header, SPEED_FIELD);
        if (text.isEmpty()) {
            return OptionalDouble.empty();
        }
        try {
            double figure = Double.parseDouble(text);
            return figure >= MIN_FIGURE && figure <= MAX_FIGURE
                    ? OptionalDouble.of(figure / USUAL)
                    : OptionalDouble.empty();
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }

    /** Returns a field without white space, empty if there is none. */
    private static String field(String header, int number) {
        if (header == null) {
            return "";
        }
        int start = 0;
        for (int i = 0; i < number; i++) {
            int comma = header.indexOf(',', start);
            if (comma < 0) {
                return "";
            }
            start = comma + 1;
        }
        int end = header.indexOf(',', start);
        return header.substring(start, end < 0 ? header.length() : end).strip();
    }
}

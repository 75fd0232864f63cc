package org.berylwick.node.lib;

/**
 * An entry of a list in the store that cannot be used, and is skipped.
 *
 * @param name name of the entry, shortened, empty if it has none
 * @param reason what is wrong with it
 */
public record UnusableEntry(String name, String reason) {
    /** Longer names and reasons would fill the log. */
    private static final int MAX_TEXT_CHARS = 80;

    public UnusableEntry {
        name = shorten(name);
        reason = shorten(reason);
    }

    private static String shorten(String text) {
        return text.substring(0, Math.min(MAX_TEXT_CHARS, text.length()));
    }
}

package org.berylwick.node.lib;

/**
 * Identifies one start of a backend server.
 *
 * <p>A backend server that states no time of its start chooses another id for each start. One that does may keep its
 * id; the later start is then the one with the higher time.
 *
 * @param id id that the backend server chose
 * @param born Unix time of its start in milliseconds, {@link #UNKNOWN} if it states none
 */
public record Incarnation(String id, long born) {
    /** Stands for a time of start that is not stated; lower than any that is. */
    public static final long UNKNOWN = -1;

    /** Starts with a character that no id contains, because the path of a heartbeat ends there. */
    private static final String BORN_SEPARATOR = "?born=";

    /** Creates an incarnation that states no time of its start. */
    public static Incarnation of(String id) {
        return new Incarnation(id, UNKNOWN);
    }

    /** Reads the text form; a text that is not one is an id. */
    public static Incarnation parse(String text) {
        int separator = text.lastIndexOf(BORN_SEPARATOR);
        if (separator < 0) {
            return of(text);
        }
        try {
            long born = Long.parseLong(text, separator + BORN_SEPARATOR.length(), text.length(), 10);
            return born < 0 ? of(text) : new Incarnation(text.substring(0, separator), born);
        } catch (NumberFormatException e) {
            return of(text);
        }
    }

    /** Whether the time of the start is known. */
    public boolean hasBorn() {
        return born != UNKNOWN;
    }

    /** Whether this is another start under the same id, and an earlier one. */
    public boolean isEarlierStartThan(Incarnation other) {
        return id.equals(other.id) && born < other.born;
    }

    /** The text form; the id alone if the time of the start is unknown. */
    public String text() {
        return hasBorn() ? id + BORN_SEPARATOR + born : id;
    }
}

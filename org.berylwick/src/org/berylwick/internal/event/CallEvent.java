package org.berylwick.internal.event;

import org.apache.logging.log4j.Level;

/** Events about requests. */
public enum CallEvent implements Event {
    /** A request ended without it being known whether it ran. */
    OUTCOME_UNKNOWN(4001, Level.WARN, "request {} to {}: outcome unknown: {}"),

    /** The backend server shed a request, so fewer slots are used for a while. */
    SLOTS_LOWERED(4041, Level.WARN, "backend server sheds: slots {} -> {} of {}"),

    /** All declared slots are used again. */
    SLOTS_RESTORED(4042, Level.DEBUG, "all {} slots are used again"),

    /** A member is given no requests for a while, as those sent there failed. */
    MEMBER_EJECTED(4043, Level.WARN, "{} of {} ejected for {} ms: {}"),

    /** A member that was ejected takes requests again. */
    MEMBER_RETURNED(4044, Level.INFO, "{} of {} takes requests again");

    private final int number;
    private final Level level;
    private final String text;

    CallEvent(int number, Level level, String text) {
        this.number = number;
        this.level = level;
        this.text = text;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Level level() {
        return level;
    }

    @Override
    public String text() {
        return text;
    }
}

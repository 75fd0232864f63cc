package org.berylwick.internal.event;

import org.apache.logging.log4j.Level;

/** Events about requests. */
public enum CallEvent implements Event {
    /** A request ended without it being known whether it ran. */
    OUTCOME_UNKNOWN(4001, Level.WARN, "request {} to {}: outcome unknown: {}");

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

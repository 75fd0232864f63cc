package org.berylwick.internal.event;

import org.apache.logging.log4j.Level;

/** Events about invariants. */
public enum InvariantEvent implements Event {
    /** Something that must always hold did not. */
    BREACH(9001, Level.ERROR, "invariant {} is broken: {}");

    private final int number;
    private final Level level;
    private final String text;

    InvariantEvent(int number, Level level, String text) {
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

package org.berylwick.internal.event;

import org.apache.logging.log4j.Level;

/** Events about what operators do. */
public enum OperatorEvent implements Event {
    /** A change was asked for. */
    APPLY(6001, Level.INFO, "apply by {} as operation {}: {}");

    private final int number;
    private final Level level;
    private final String text;

    OperatorEvent(int number, Level level, String text) {
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

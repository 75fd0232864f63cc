package org.berylwick.internal.event;

import org.apache.logging.log4j.Level;

/** Events about what operators do. */
public enum OperatorEvent implements Event {
    /** A change was asked for. */
    APPLY(6001, Level.INFO, "apply by {} as operation {}: {}"),
    /** A changing call without the right token. */
    UNAUTHENTICATED(6002, Level.WARN, "{} refused: {}"),
    /** An operator's call threw inside the daemon. */
    FAILED(6003, Level.ERROR, "an operator's call failed"),
    /** A rollback was asked for. */
    ROLLBACK(6004, Level.INFO, "rollback by {} as operation {}: {}"),
    /** The own backend server was taken out of service, or back in. */
    DRAIN(6005, Level.INFO, "{} by {}: now {}");

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

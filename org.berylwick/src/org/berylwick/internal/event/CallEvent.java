package org.berylwick.internal.event;

import org.apache.logging.log4j.Level;

/** Events about requests. */
public enum CallEvent implements Event {
    /** A request ended without it being known whether it ran. */
    OUTCOME_UNKNOWN(4001, Level.WARN, "request {} to {}: outcome unknown: {}"),
    /** The store did not decide who runs a request with an idempotency key, which was refused as not run. */
    KEY_NOT_CLAIMED(4021, Level.WARN, "key {} not claimed: {}"),
    /** What became of a request with an idempotency key is not in the store; repeats are told that it is unknown. */
    KEY_NOT_SETTLED(4022, Level.WARN, "key {}: {} not recorded: {}");

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

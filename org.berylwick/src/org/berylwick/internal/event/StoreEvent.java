package org.berylwick.internal.event;

import org.apache.logging.log4j.Level;

/** Events about the platform store. */
public enum StoreEvent implements Event {
    /** The head could not be followed. */
    HEAD_LOST(5001, Level.WARN, "cannot follow the head: {}"),
    /** The members could not be followed. */
    MEMBERS_LOST(5002, Level.WARN, "cannot follow the members: {}"),
    /** This daemon began to read the store for its zone. */
    READER(5003, Level.INFO, "reads the store for {} from place {}"),
    /** This daemon no longer reads the store for its zone. */
    READER_ENDED(5004, Level.INFO, "no longer reads the store: {}"),
    /** An object in a list has a key that no program of ours writes; the others are used. */
    OBJECT_SKIPPED(5005, Level.WARN, "skips an object with an invalid key of {} characters, version {}");

    private final int number;
    private final Level level;
    private final String text;

    StoreEvent(int number, Level level, String text) {
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

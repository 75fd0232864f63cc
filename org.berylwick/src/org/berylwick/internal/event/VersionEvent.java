package org.berylwick.internal.event;

import org.apache.logging.log4j.Level;

/** Events about configuration versions. */
public enum VersionEvent implements Event {
    /** A version came into force, or not, here. */
    INSTALL(2001, Level.INFO, "version {}: {}"),
    /** A version that the head names could not be read. */
    UNREADABLE(2002, Level.WARN, "cannot read version {}: {}"),
    /** A peer's version could not be fetched or put together. */
    PULL_FAILED(2003, Level.WARN, "cannot take version {} from {}: {}"),
    /** A version was offered that does not follow the one in force. */
    DIVERGED(2004, Level.ERROR, "the history has split: {}"),
    /** The store showed a head older than the version in force. */
    HEAD_BEHIND(2005, Level.WARN, "the store shows version {}, behind {} in force here; not followed");

    private final int number;
    private final Level level;
    private final String text;

    VersionEvent(int number, Level level, String text) {
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

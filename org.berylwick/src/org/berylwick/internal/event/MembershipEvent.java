package org.berylwick.internal.event;

import org.apache.logging.log4j.Level;

/** Events about members. */
public enum MembershipEvent implements Event {
    /** A record of a member could not be read. */
    UNREADABLE_RECORD(3001, Level.WARN, "cannot read the record {}: {}"),
    /** The own record could not be announced. */
    NOT_ANNOUNCED(3002, Level.WARN, "cannot announce the own member: {}");

    private final int number;
    private final Level level;
    private final String text;

    MembershipEvent(int number, Level level, String text) {
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

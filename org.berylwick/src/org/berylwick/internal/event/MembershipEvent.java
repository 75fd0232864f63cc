package org.berylwick.internal.event;

import org.apache.logging.log4j.Level;

/** Events about members. */
public enum MembershipEvent implements Event {
    /** A record of a member could not be read. */
    UNREADABLE_RECORD(3001, Level.WARN, "cannot read the record {}: {}"),
    /** The own record could not be announced. */
    NOT_ANNOUNCED(3002, Level.WARN, "cannot announce the own member: {}"),
    /** A member is known in another state. */
    STATE(3003, Level.INFO, "member {} is {} in incarnation {}"),
    /** Others suspected or gave up this daemon, which runs. */
    REFUTED(3004, Level.WARN, "refuted being {} with incarnation {}"),
    /** A stream brought nothing for too long and was closed. */
    STREAM_SILENT(3005, Level.WARN, "the stream to {} fell silent"),
    /** The zone's directory in the store could not be read or written. */
    DIRECTORY_LOST(3006, Level.WARN, "cannot keep or read the directory: {}");

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

package org.berylwick.internal.event;

import org.apache.logging.log4j.Level;

/** Events in the life of a process. */
public enum ProcessEvent implements Event {
    /** The sockets are open; the addresses carry the real ports. */
    LISTENING(1001, Level.INFO, "listening callers={} peers={} admin={}"),
    /** The own backend server passed its first health check. */
    SERVER_READY(1002, Level.INFO, "the backend server is ready"),
    /** Everything that ran has finished. */
    STOPPED(1003, Level.INFO, "stopped"),
    /** A duty threw; it goes on after a pause. */
    DUTY_FAILED(1004, Level.ERROR, "a round of {} failed"),
    /** A service threw while closing; the others are closed all the same. */
    NOT_CLOSED(1005, Level.ERROR, "service {} did not close"),
    /** The own backend server's health says that it drains; it gets no new work. */
    SERVER_DRAINING(1006, Level.INFO, "the backend server drains"),
    /** The own backend server's health is good again after it drained. */
    SERVER_BACK(1007, Level.INFO, "the backend server drains no more"),
    /** The call path has run against itself; the sockets open next. */
    WARMED_UP(1020, Level.INFO, "warmed up in {} rounds and {} ms; {} calls failed");

    private final int number;
    private final Level level;
    private final String text;

    ProcessEvent(int number, Level level, String text) {
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

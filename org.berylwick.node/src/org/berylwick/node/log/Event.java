package org.berylwick.node.log;

/**
 * Numbered events of the node; the catalogue is docs/NODE-EVENTS.md.
 *
 * <p>Events of calls are limited to some lines a second each, as an overload would otherwise spend a VM's processor
 * time on telling of it; the next line of that event says how many were left out.
 */
public enum Event {
    /** The ports are open. */
    STARTED(7001, Integer.MAX_VALUE),
    /** The process was told to stop. */
    STOPPING(7002, Integer.MAX_VALUE),
    /** Nothing is under way any more, or the grace is over. */
    STOPPED(7003, Integer.MAX_VALUE),
    /** The settings were read again. */
    SETTINGS_RELOADED(7004, Integer.MAX_VALUE),
    /** They could not be read; the former ones stay. */
    SETTINGS_REFUSED(7005, Integer.MAX_VALUE),
    /** Readiness changed. */
    READY_CHANGED(7006, Integer.MAX_VALUE),
    /** A version came into force here. */
    VERSION_INSTALLED(7010, Integer.MAX_VALUE),
    /** What was read is no whole version. */
    VERSION_REFUSED(7011, 5),
    /** The platform's store stopped answering. */
    STORE_LOST(7020, Integer.MAX_VALUE),
    /** It answers again. */
    STORE_REGAINED(7021, Integer.MAX_VALUE),
    /** One call to it failed. */
    STORE_CALL_FAILED(7022, 5),
    /** Another node, or its backend server, changed. */
    MEMBER_CHANGED(7030, 50),
    /** Calls to another node failed. */
    MEMBER_SUSPECTED(7031, 20),
    /** The backend server beside this node changed. */
    BACKEND_CHANGED(7032, 20),
    /** A heartbeat was late or malformed. */
    BACKEND_REPORT_IGNORED(7033, 5),
    /** The backend server was asked who it is, after a start of this node. */
    BACKEND_PROBED(7034, 10),
    /** A call was answered; repeated ones, and one in fifty of the others. */
    CALL_ANSWERED(7040, 30),
    /** A call ended without a good answer. */
    CALL_FAILED(7041, 50),
    /** A call was refused; it has not run. */
    CALL_REFUSED(7042, 20),
    /** A caller left. */
    CALL_ABANDONED(7043, 20),
    /** An attempt was lost; it may have run. */
    ATTEMPT_FAILED(7044, 30),
    /** The budget for repeats had no room. */
    RETRY_DENIED(7045, 10),
    /** A caller sent what cannot be taken. */
    CALLER_FAULT(7046, 10),
    /** An answer to another request was dropped. */
    ANSWER_DISCARDED(7047, 10),
    /** The backend server beside this node brought no whole answer. */
    RUN_FAILED(7048, 30),
    /** A repeat is sent beside an attempt at a node that is not heard. */
    ATTEMPT_UNHEARD(7049, 30),
    /** A large answer to another node left over the link after its objective, or not at all. */
    ANSWER_LATE_AT_LINK(7050, 20),
    /** An unexpected error; the connection it came from was closed. */
    INTERNAL_ERROR(7099, 20);

    private final int number;
    private final int maxLinesPerSecond;

    Event(int number, int maxLinesPerSecond) {
        this.number = number;
        this.maxLinesPerSecond = maxLinesPerSecond;
    }

    /** The number that stands in the log; never used again for something else. */
    public int number() {
        return number;
    }

    /** Lines of it that one node writes a second at the most. */
    public int maxLinesPerSecond() {
        return maxLinesPerSecond;
    }
}

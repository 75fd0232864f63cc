package org.berylwick.pgm;

/** What the process's exit status tells scripts. */
enum ExitCode {
    /** Done. */
    OK(0),
    /** Something unforeseen. */
    FAILED(1),
    /** Arguments or documents break a rule. */
    BAD_INPUT(2),
    /** Another operator changed the same objects. */
    CONFLICT(3),
    /** The daemon refused. */
    REFUSED(4),
    /** No answer from the daemon, or from the store behind it; nothing changed. */
    UNREACHABLE(5),
    /** It is not known whether the change was accepted. */
    UNDECIDED(6),
    /** The change is accepted, and it was not in force everywhere in the time given to wait. */
    LAGGING(7);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    int status() {
        return status;
    }
}

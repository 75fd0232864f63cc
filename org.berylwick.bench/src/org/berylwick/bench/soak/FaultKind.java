package org.berylwick.bench.soak;

import java.util.Locale;

/** The kinds of failure that a run brings about. */
enum FaultKind {
    /** A daemon is ended without warning and started again. */
    KILL,
    /** A daemon stands still for a while, as a paused VM does. */
    FREEZE,
    /** A link's connections are reset and new ones refused for a while. */
    CUT,
    /** A link's open connections go silent in one direction for good. */
    ONE_WAY_CUT,
    /** A link's open connections go silent for good. */
    SILENT_CONNECTIONS,
    /** A link delays what it passes on. */
    SLOW_LINK,
    /** The store's calls are slow. */
    SLOW_STORE,
    /** The store answers 503, or refuses connections. */
    STORE_OUTAGE,
    /** Answers of the store are lost after the write took effect. */
    LOST_ANSWERS,
    /** Reads of the store see an older head. */
    STALE_STORE,
    /** A VM is replaced: daemon and backend server end and come back elsewhere, with no memory. */
    REPLACED_PROCESS,
    /** Operators change the same brand at once through several daemons. */
    RACING_OPERATORS,
    /** A daemon is stopped as planned and started again. */
    PLANNED_STOP,
    /** A backend server drains. */
    DRAINING,
    /** A backend server sheds what it gets. */
    SHEDDING,
    /** A backend server ends and comes back at its address. */
    SERVER_FAILED,
    /** Answers of a backend server are late, crossed, truncated, doubled, lost or never come. */
    SPOILT_ANSWERS,
    /** A backend server's health and load endpoints say nothing true. */
    LYING_HEALTH;

    /** The name in the printed figures. */
    String key() {
        return "struck_" + name().toLowerCase(Locale.ROOT);
    }
}

package org.berylwick.internal.event;

import org.apache.logging.log4j.Level;

/** Events about requests. */
public enum CallEvent implements Event {
    /** A request ended without it being known whether it ran. */
    OUTCOME_UNKNOWN(4001, Level.WARN, "request {} to {}: outcome unknown: {}"),
    /** The backend server's answer doesn't name its request alone; its connection was closed. */
    CROSSED_ANSWER(4002, Level.ERROR, "request {} was answered for {}: dropped"),
    /** Nothing came over a connection any more; it was closed. */
    SILENT_CONNECTION(4003, Level.WARN, "the connection to {} went silent: closed"),
    /** An answer that was being streamed ended early; the caller sees it cut. */
    ANSWER_CUT(4004, Level.WARN, "answer to request {} was cut after {} bytes: {}"),
    /** An answer that was cut goes on from another attempt. */
    ANSWER_RESUMED(4005, Level.INFO, "answer to request {} goes on at byte {} from {}"),
    /** The share of retries is used up. */
    OVER_BUDGET(4006, Level.WARN, "request {} to {} is not sent again: retry budget used up"),
    /** The daemon stops: callers are sent away and what runs is finished. */
    DRAINING(4007, Level.INFO, "draining: {} requests run here"),
    /** Nothing runs any more, or the time for it is over. */
    DRAINED(4008, Level.INFO, "drained: {} requests are left"),

    /** The backend server shed a request, so fewer slots are used for a while. */
    SLOTS_LOWERED(4041, Level.WARN, "backend server sheds: slots {} -> {} of {}"),

    /** All declared slots are used again. */
    SLOTS_RESTORED(4042, Level.DEBUG, "all {} slots are used again"),

    /** The backend server states another limit on its rate of requests, or none any more. */
    RATE_STATED(4048, Level.INFO, "backend server accepts {} requests a second"),

    /** A member is given no requests for a while, as those sent there failed. */
    MEMBER_EJECTED(4043, Level.WARN, "{} of {} ejected for {} ms: {}"),

    /** A member that was ejected takes requests again. */
    MEMBER_RETURNED(4044, Level.INFO, "{} of {} takes requests again"),

    /** The process of the backend server has ended. */
    BACKEND_EXITED(4045, Level.WARN, "backend server at {} has ended: connections are refused"),

    /** A request that was running on backend servers when they ended is refused for a while. */
    REQUEST_HELD(4046, Level.WARN, "request {} is refused for {} ms: {} backend servers ended while they ran it"),

    /** A backend server has completed a request that was refused before. */
    REQUEST_CLEARED(4047, Level.INFO, "request {} is not refused any more: a backend server has completed it"),
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

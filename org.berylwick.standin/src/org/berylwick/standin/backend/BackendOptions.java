package org.berylwick.standin.backend;

import java.time.Duration;

/**
 * What a backend server has and how long it takes; fixed for its life.
 *
 * @param slots requests run at once; more are shed
 * @param connections accepted at once; more are closed
 * @param serviceTime how long a request takes once warm
 * @param connectionTime processor time spent on each new connection
 * @param coldPeriod time from the start on in which requests take {@code coldExtra} longer
 * @param coldExtra added in the cold period
 */
public record BackendOptions(
        int slots,
        int connections,
        Duration serviceTime,
        Duration connectionTime,
        Duration coldPeriod,
        Duration coldExtra) {
    /** Twelve slots, 110 connections, 2 ms a request, 1 ms a connection, no cold start. */
    public static final BackendOptions DEFAULT =
            new BackendOptions(12, 110, Duration.ofMillis(2), Duration.ofMillis(1), Duration.ZERO, Duration.ZERO);

    /** These options with other slots. */
    public BackendOptions withSlots(int number) {
        return new BackendOptions(number, connections, serviceTime, connectionTime, coldPeriod, coldExtra);
    }

    /** These options with another connection limit. */
    public BackendOptions withConnections(int number) {
        return new BackendOptions(slots, number, serviceTime, connectionTime, coldPeriod, coldExtra);
    }

    /** These options with another service time. */
    public BackendOptions withServiceTime(Duration time) {
        return new BackendOptions(slots, connections, time, connectionTime, coldPeriod, coldExtra);
    }

    /** These options with a cold start. */
    public BackendOptions withColdStart(Duration period, Duration extra) {
        return new BackendOptions(slots, connections, serviceTime, connectionTime, period, extra);
    }
}

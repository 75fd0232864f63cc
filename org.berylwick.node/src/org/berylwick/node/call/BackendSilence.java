package org.berylwick.node.call;

/** Decides when a backend server of which nothing is received is taken to be gone. */
final class BackendSilence {
    /**
     * Heartbeat intervals after which a backend server that has neither sent a heartbeat nor answered a request is
     * marked absent.
     */
    private static final int MAX_MISSED_HEARTBEATS = 6;
    /**
     * The same limit if all running requests are overdue. It is lower because missing heartbeats or overdue requests
     * alone may be accidental, but both together are not.
     */
    private static final int MAX_MISSED_HEARTBEATS_WHEN_OVERDUE = 2;

    private BackendSilence() {}

    /**
     * Returns whether a backend server is absent; never while it runs a request that is not overdue.
     *
     * @param server the backend server
     * @param running the requests that it runs
     * @param heartbeatNanos interval between two of its heartbeats
     * @param now current time
     */
    static boolean isAbsent(Backend server, RunningRequests running, long heartbeatNanos, long now) {
        boolean allOverdue = running.areAllOverdue(now);
        if (!allOverdue && !running.isEmpty()) {
            return false;
        }
        long maxMissed = allOverdue ? MAX_MISSED_HEARTBEATS_WHEN_OVERDUE : MAX_MISSED_HEARTBEATS;
        return now - server.lastActivityAt() > maxMissed * heartbeatNanos;
    }
}

package org.berylwick.node.call;

/** Decides whether a backend server gets requests, by its version, and learns how they end. */
public interface VersionGate {
    /** All versions get requests. */
    VersionGate OPEN = new VersionGate() {
        @Override
        public boolean admits(Backend server) {
            return true;
        }

        @Override
        public void onRunEnded(CallSpec call, long nanos, boolean failed) {
            // There is no roll-out that would need it.
        }
    };

    /** Returns whether a backend server may be sent requests. */
    boolean admits(Backend server);

    /**
     * Records the end of a request that the backend server ran.
     *
     * @param call the request
     * @param nanos time that it took
     * @param failed whether it failed, by status or without a response
     */
    void onRunEnded(CallSpec call, long nanos, boolean failed);
}

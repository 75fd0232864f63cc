package org.berylwick.node;

/** Decides when a node that has a configuration version becomes ready after its start; confined to the event loop. */
final class StartupGate {
    /** A node that has not heard from any other node becomes ready only after this time, counted from its start. */
    private static final long READY_WITHOUT_PEERS_AFTER_NANOS = 1_500_000_000L;
    /** A node that has not got the newest version it knows of becomes ready only after this time from its start. */
    private static final long READY_THOUGH_OUTDATED_AFTER_NANOS = 3_000_000_000L;

    private final long startedAt;
    private boolean caughtUp;

    /** @param startedAt start of the node, in {@link System#nanoTime} terms */
    StartupGate(long startedAt) {
        this.startedAt = startedAt;
    }

    /**
     * Whether the node may become ready.
     *
     * @param hasPeers whether other nodes were heard from
     * @param outdated whether one of them has a newer version in force; counts until it was false once
     */
    boolean isOpen(boolean hasPeers, boolean outdated) {
        long sinceStartNanos = System.nanoTime() - startedAt;
        caughtUp |= !outdated || sinceStartNanos > READY_THOUGH_OUTDATED_AFTER_NANOS;
        return caughtUp && (hasPeers || sinceStartNanos > READY_WITHOUT_PEERS_AFTER_NANOS);
    }
}

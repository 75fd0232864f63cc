package org.berylwick.node.lib;

/**
 * Lasting record of the incarnations of the backend server beside a node that have left, for the processes of that node
 * that follow.
 */
public interface DepartureRecord {
    /** A record that lasts no longer than the process. */
    DepartureRecord IN_MEMORY = (incarnation, onRecorded) -> onRecorded.run();

    /**
     * Records that an incarnation has left.
     *
     * @param incarnation the incarnation
     * @param onRecorded runs when the record outlasts this process, before this method returns if it does already
     */
    void record(String incarnation, Runnable onRecorded);
}

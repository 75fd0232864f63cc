package org.berylwick.node.member;

import org.berylwick.node.lib.BackendReport;

/** How backend servers announce themselves. */
public interface HeartbeatProtocol {
    /** What a backend server said. */
    sealed interface Announcement {
        /** It is there, in some state. */
        record Report(BackendReport report) implements Announcement {}

        /** It is leaving for good. */
        record Leave(String incarnation) implements Announcement {}

        /** Nothing that can be read. */
        record Malformed(String reason) implements Announcement {}
    }

    /**
     * Reads a call.
     *
     * @param method of the call
     * @param uri of the call
     * @param body of the call
     */
    Announcement read(String method, String uri, byte[] body);

    /** Body of an acknowledgement. */
    byte[] acknowledgement();
}

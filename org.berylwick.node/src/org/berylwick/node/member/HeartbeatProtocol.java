package org.berylwick.node.member;

import org.berylwick.node.lib.BackendReport;

/** Decodes the calls by which backend servers report to, and deregister from, the node on their VM. */
public interface HeartbeatProtocol {
    /** Result of decoding a call of a backend server. */
    sealed interface DecodeResult {
        /** A heartbeat with the state of the backend server. */
        record Report(BackendReport report) implements DecodeResult {}

        /** The backend server of an id deregisters; the start of it that runs now will not return. */
        record Leave(String id) implements DecodeResult {}

        /** The call could not be decoded. */
        record Malformed(String reason) implements DecodeResult {}
    }

    /**
     * Decodes a call.
     *
     * @param method HTTP method
     * @param uri request URI
     * @param body request body
     */
    DecodeResult decode(String method, String uri, byte[] body);

    /** The response body that acknowledges a heartbeat or a deregistration. */
    byte[] acknowledgement();
}

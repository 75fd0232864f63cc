package org.berylwick.node.transport;

import java.net.InetSocketAddress;

/**
 * Bytes of a server that are not the response to the request on their connection, or cannot be shown to be.
 *
 * @param kind what is wrong with them
 * @param server address of the server
 * @param request id of the request that waits for its response, empty if there is none or it has no id
 * @param previousRequest id of the last request that was answered on the connection, empty if there is none
 * @param receivedBytes number of bytes received since the request was sent or, if none waits, since the last response
 * @param detail type of the decoder's error, or name of the header that shows the fault; empty for none
 */
public record ResponseFault(
        Kind kind,
        InetSocketAddress server,
        String request,
        String previousRequest,
        long receivedBytes,
        String detail) {
    /** What is wrong with the bytes. */
    public enum Kind {
        /** They are no HTTP response. */
        UNREADABLE,
        /** The head contains a second status line, so that it consists of parts of two responses. */
        JOINED,
        /** The response names another request. */
        FOREIGN,
        /** The response names no request, or several, on a connection that has carried an earlier request. */
        UNIDENTIFIED,
        /** They arrived while no request waited for a response. */
        UNEXPECTED
    }
}

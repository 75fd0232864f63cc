package org.berylwick.transport;

import org.berylwick.proto.PeerMessage;

/** One end of a stream between two daemons; any thread may call it. */
public interface PeerStream extends AutoCloseable {
    /** Whether more can be sent without piling up in memory. */
    boolean isReady();

    /** Sends a message; one on a closed stream is dropped. */
    void send(PeerMessage message);

    /** Ends the stream; the other side sees it end. */
    @Override
    void close();

    /** Is told what a stream brings, on threads of the HTTP library: it must not block. */
    interface Listener {
        /** A message came in. */
        void received(PeerStream stream, PeerMessage message);

        /** The stream ended, for whatever reason; nothing more comes in. */
        void closed(PeerStream stream, String reason);
    }
}

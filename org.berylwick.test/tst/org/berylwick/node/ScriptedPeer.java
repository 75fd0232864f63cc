package org.berylwick.node;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.member.NodeState;
import org.berylwick.testing.Await;

/**
 * Node 9 of a {@link NodeRig}, simulated on raw sockets: announces to node 1 a backend server that is ready, and
 * responds to forwarded requests as the test directs.
 */
final class ScriptedPeer implements AutoCloseable {
    private static final int NODE_NUMBER = 9;
    private static final String INCARNATION = "i-9";
    /** Load fields of the {@code bw-outcome} header for an idle backend server with 8 slots. */
    private static final String IDLE_LOAD = ";0;0;8;50000;0;0;0";

    private final NodeRig rig;
    private final DatagramSocket gossipSocket;
    private final ServerSocket listener;
    /** Holds the sockets of connections that a test does not keep; an unreachable socket would be closed. */
    private final List<Socket> acceptedSockets = new ArrayList<>();

    /** Creates node 9 and announces it to node 1 once. */
    static ScriptedPeer startAnnounced(NodeRig rig, int linkMbps) throws IOException {
        ScriptedPeer peer = new ScriptedPeer(rig);
        peer.announce(linkMbps);
        return peer;
    }

    ScriptedPeer(NodeRig rig) throws IOException {
        this.rig = rig;
        this.gossipSocket = new DatagramSocket(rig.gossipAddress(NODE_NUMBER));
        this.listener = new ServerSocket(
                rig.peerAddress(NODE_NUMBER).getPort(),
                10,
                rig.peerAddress(NODE_NUMBER).getAddress());
    }

    /** Sends the state of node 9 to node 1, and waits until node 1 has logged it. */
    void announce(int linkMbps) throws IOException {
        NodeState state = new NodeState(
                7,
                1,
                "zone-a",
                linkMbps,
                1,
                true,
                false,
                "work",
                INCARNATION,
                BackendState.READY,
                0,
                new OwnerLoad(0, 0, 8, 50_000_000L),
                List.of());
        rig.sendStateToFirstNode(gossipSocket, state);
        Await.until("node 1 knows node 9", () -> rig.logText().contains(INCARNATION), rig::logText);
    }

    /** Accepts the next connection from node 1. */
    Connection accept() throws IOException {
        Socket socket = listener.accept();
        acceptedSockets.add(socket);
        socket.setSoTimeout(20_000);
        return new Connection(socket, new BufferedInputStream(socket.getInputStream()));
    }

    /** A connection from node 1. */
    record Connection(Socket socket, InputStream input) implements AutoCloseable {
        /** Reads the head of a request; returns it in lower case. */
        String readHead() throws IOException {
            StringBuilder text = new StringBuilder();
            while (text.indexOf("\r\n\r\n") < 0) {
                int c = input.read();
                if (c < 0) {
                    throw new IOException("connection closed after " + text);
                }
                text.append((char) c);
            }
            return text.toString().toLowerCase(Locale.ROOT);
        }

        byte[] readBody(int length) throws IOException {
            return input.readNBytes(length);
        }

        /** Whether any byte arrives within a time. */
        boolean receivesWithin(int millis) throws IOException {
            long deadline = System.nanoTime() + millis * 1_000_000L;
            while (System.nanoTime() < deadline) {
                if (input.available() > 0) {
                    return true;
                }
                NodeRig.sleep(5);
            }
            return false;
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Asks for the request body. */
        void sendContinue() throws IOException {
            write("HTTP/1.1 100 Continue\r\n\r\n");
        }

        /** Time until the deadline, from the {@code bw-call} header of a request head in lower case. */
        static int remainingMillis(String head) {
            int headerStart = head.indexOf("bw-call: ");
            return Integer.parseInt(
                    head.substring(headerStart, head.indexOf('\r', headerStart)).split(";")[6]);
        }

        /** Refuses the request as not run. */
        void refuse() throws IOException {
            write("HTTP/1.1 503 Busy\r\nbw-outcome: refused;BUSY;false" + IDLE_LOAD + "\r\ncontent-length: 0\r\n\r\n");
        }

        /** Sends the head of a response of the backend server. */
        void beginResponse(String id, int length) throws IOException {
            write("HTTP/1.1 200 OK\r\nbw-outcome: answered;;false" + IDLE_LOAD + "\r\nx-request-id: " + id
                    + "\r\nx-signature: s\r\ncontent-length: " + length + "\r\n\r\n");
        }

        /** Sends a complete response of the backend server. */
        void respond(String id, String body) throws IOException {
            beginResponse(id, body.length());
            write(body);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        gossipSocket.close();
        listener.close();
        for (Socket socket : acceptedSockets) {
            socket.close();
        }
    }
}

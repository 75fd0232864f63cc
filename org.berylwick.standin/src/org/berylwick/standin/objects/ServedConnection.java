package org.berylwick.standin.objects;

import java.io.IOException;
import java.net.Socket;
import java.util.Optional;

/** A connection on which a backend server responds to one request after the other; safe for use by many threads. */
final class ServedConnection {
    private final Socket socket;
    private Optional<Request> responded = Optional.empty();
    private boolean idle = true;
    private boolean dirty;

    ServedConnection(Socket socket) {
        this.socket = socket;
    }

    /**
     * A request that got its response.
     *
     * @param id of it
     * @param success body of its successful response
     */
    record Request(String id, byte[] success) {}

    Socket socket() {
        return socket;
    }

    /** The last request that got its response here. */
    synchronized Optional<Request> responded() {
        return responded;
    }

    /** Whether bytes that belong to no request were sent since the last response. */
    synchronized boolean isDirty() {
        return dirty;
    }

    synchronized void onRequest() {
        idle = false;
    }

    /** Sends the response to the current request. */
    synchronized void respond(Request request, byte[] response) throws IOException {
        socket.getOutputStream().write(response);
        responded = Optional.of(request);
        idle = true;
        dirty = false;
    }

    /** Sends bytes that belong to no request. */
    synchronized void sendExtra(byte[] bytes) throws IOException {
        dirty = true;
        socket.getOutputStream().write(bytes);
    }

    /** Sends bytes that belong to no request, if no request has arrived since the last response; false otherwise. */
    synchronized boolean sendExtraIfIdle(byte[] bytes) throws IOException {
        if (!idle || dirty || socket.isClosed()) {
            return false;
        }
        sendExtra(bytes);
        return true;
    }

    @Override
    public String toString() {
        return "connection " + socket.getPort();
    }
}

package org.berylwick.bench.nodes;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A caller with one kept connection, which hides nothing: no retries, no redirects, each break is told. */
final class PlainCaller implements AutoCloseable {
    private static final String STATUS_LINE = "HTTP/1\\.1 [1-5]\\d\\d .*";
    /** May come without a request: a node closes an idle connection so. */
    private static final String FAILURE_LINE = "HTTP/1\\.1 [45]\\d\\d .*";

    private final InetSocketAddress address;
    private Socket socket;
    private InputStream in;

    PlainCaller(InetSocketAddress address) {
        this.address = address;
    }

    /** What came of a request. */
    sealed interface Result {
        /** A whole answer. */
        record Answer(int status, Map<String, String> headers, byte[] body) implements Result {}

        /** No connection was made, or it ended before the request was sent. */
        record NotSent() implements Result {}

        /**
         * The connection ended without a whole answer.
         *
         * @param afterMillis from the last byte that was sent to the end
         */
        record Broken(long afterMillis) implements Result {}

        /**
         * Bytes came that are no answer, or that no request waited for.
         *
         * @param line the first of these
         */
        record Unreadable(String line) implements Result {}
    }

    Result call(String method, String path, String id, int deadlineMillis, String body) {
        try {
            if (socket != null && in.available() > 0) {
                String unasked = line();
                drop();
                if (!unasked.matches(FAILURE_LINE)) {
                    return new Result.Unreadable(unasked);
                }
            }
            if (socket == null) {
                connect();
            }
        } catch (IOException e) {
            drop();
            return new Result.NotSent();
        }
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + NodeFleet.HOST + "\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
        long sentAt = System.nanoTime();
        try {
            socket.setSoTimeout(deadlineMillis + 2_000);
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            return read();
        } catch (IOException e) {
            drop();
            return new Result.Broken((System.nanoTime() - sentAt) / 1_000_000);
        }
    }

    private void connect() throws IOException {
        socket = new Socket();
        socket.connect(address, 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    private Result read() throws IOException {
        String first = line();
        if (!first.matches(STATUS_LINE)) {
            drop();
            return new Result.Unreadable(first);
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            if (colon <= 0) {
                drop();
                return new Result.Unreadable(line);
            }
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        String stated = headers.getOrDefault("content-length", "0");
        if (!stated.matches("\\d{1,9}")) {
            drop();
            return new Result.Unreadable("Content-Length: " + stated);
        }
        int length = Integer.parseInt(stated);
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("cut short");
        }
        if ("close".equalsIgnoreCase(headers.get("connection"))) {
            drop();
        }
        return new Result.Answer(Integer.parseInt(first.split(" ")[1]), headers, body);
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("closed");
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    private void drop() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is given up either way.
        }
        socket = null;
    }

    @Override
    public void close() {
        drop();
    }
}

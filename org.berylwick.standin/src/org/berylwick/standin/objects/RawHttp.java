package org.berylwick.standin.objects;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 as bytes, which can end anywhere. */
final class RawHttp {
    /** Between the halves of a response without a length, so that the first one is passed on alone. */
    private static final int MIDWAY_MILLIS = 100;

    private RawHttp() {}

    /** Reads a line; null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    /** Reads header lines up to the empty one, with names in lower case. */
    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return headers;
    }

    /** A response with its length. */
    static byte[] response(String status, String headers, byte[] body) {
        String head = "HTTP/1.1 " + status + "\r\n" + headers + "\r\nContent-Length: " + body.length + "\r\n\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.US_ASCII);
        byte[] all = Arrays.copyOf(bytes, bytes.length + body.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        return all;
    }

    /** Writes a response with its length. */
    static void write(Socket socket, String status, String headers, byte[] body) throws IOException {
        socket.getOutputStream().write(response(status, headers, body));
    }

    /** Writes a response without a length; it ends with the connection, or is reset midway. */
    static void writeUnframed(Socket socket, String status, String headers, byte[] body, boolean reset)
            throws IOException {
        String head = "HTTP/1.1 " + status + "\r\n" + headers + "\r\n\r\n";
        int half = body.length / 2;
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(body, 0, half);
        try {
            Thread.sleep(MIDWAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (reset) {
            socket.setSoLinger(true, 0);
            return;
        }
        socket.getOutputStream().write(body, half, body.length - half);
    }
}

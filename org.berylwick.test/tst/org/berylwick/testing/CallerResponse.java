package org.berylwick.testing;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A response as a caller on a plain socket sees it.
 *
 * @param status status code, 0 if the connection ended before the head was complete
 * @param headers names in lower case
 * @param body the part of the body that arrived
 * @param isWhole whether the framing of the response shows no truncation
 */
public record CallerResponse(int status, Map<String, String> headers, String body, boolean isWhole) {
    private static final int READ_TIMEOUT_MILLIS = 30_000;
    private static final CallerResponse NONE = new CallerResponse(0, Map.of(), "", false);

    /** Sends a request on a new connection and reads the response. */
    public static CallerResponse to(String request, InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return read(socket.getInputStream());
        }
    }

    /** Whether a caller takes this for the complete response to a request that succeeded. */
    public boolean isWholeSuccess() {
        return isWhole && status >= 200 && status < 300;
    }

    /** Whether the status promises that the request was not run. */
    public boolean isPromiseOfNoRun() {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    /** Status, and whether the response is whole. */
    public String outcome() {
        return status == 0 ? "closed" : status + (isWhole ? "" : " truncated");
    }

    private static CallerResponse read(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        int status;
        try {
            status = Integer.parseInt(readLine(in).split(" ")[1]);
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
        } catch (EOFException | java.net.SocketException e) {
            return NONE;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = readBody(in, headers, body);
        return new CallerResponse(status, headers, body.toString(StandardCharsets.ISO_8859_1), whole);
    }

    private static boolean readBody(InputStream in, Map<String, String> headers, ByteArrayOutputStream body)
            throws IOException {
        try {
            if (headers.containsKey("content-length")) {
                copy(in, Integer.parseInt(headers.get("content-length")), body);
                return true;
            }
            if (!headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
                in.transferTo(body);
                return true;
            }
            for (int size = readChunkSize(in); size > 0; size = readChunkSize(in)) {
                copy(in, size, body);
                readLine(in);
            }
            while (!readLine(in).isEmpty()) {
                // Trailers belong to the end of the response.
            }
            return true;
        } catch (EOFException | java.net.SocketException e) {
            return false;
        }
    }

    private static int readChunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in), 16);
    }

    private static void copy(InputStream in, int length, ByteArrayOutputStream body) throws IOException {
        byte[] bytes = in.readNBytes(length);
        body.writeBytes(bytes);
        if (bytes.length < length) {
            throw new EOFException();
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            line.append((char) c);
        }
        return line.toString().strip();
    }
}

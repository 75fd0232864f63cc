import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Plain HTTP/1.1 over a socket, enough for the stand-ins. */
final class Http {
    private Http() {}

    /** First line and headers of a message; names of headers in lower case. */
    record Head(String line, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** How a request ended: status 0 for a connection that ended without a complete answer. */
    record Answer(int status, Map<String, String> headers, byte[] body, String end) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).trim().toLowerCase(), header.substring(colon + 1).trim());
        }
        return new Head(line, headers);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        for (; b >= 0 && b != '\n'; b = in.read()) {
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new IOException("ended within the body");
                }
                int length = Integer.parseInt(size.trim(), 16);
                byte[] part = in.readNBytes(length);
                if (part.length < length) {
                    throw new IOException("ended within the body");
                }
                readLine(in);
                if (length == 0) {
                    return all.toByteArray();
                }
                all.write(part);
            }
        }
        int length = head.header("content-length").isEmpty() ? 0 : Integer.parseInt(head.header("content-length"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("ended within the body");
        }
        return body;
    }

    /** Sends a request on a new connection and reads the answer. */
    static Answer call(InetSocketAddress to, String head, byte[] body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(to, 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 65_536);
            Head answer = readHead(in);
            if (answer == null) {
                return new Answer(0, Map.of(), new byte[0], "closed without an answer");
            }
            return new Answer(answer.status(), answer.headers(), readBody(in, answer), "complete");
        } catch (java.net.ConnectException e) {
            return new Answer(0, Map.of(), new byte[0], "not connected");
        } catch (IOException e) {
            return new Answer(0, Map.of(), new byte[0], "" + e);
        }
    }
}

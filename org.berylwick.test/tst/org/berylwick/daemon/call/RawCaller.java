package org.berylwick.daemon.call;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.berylwick.lib.HostPort;

/** An HTTP/1.1 caller on a plain socket, which sees exactly how a response ends. */
final class RawCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 30_000;
    private static final int BUFFER_BYTES = 64 << 10;

    private final Socket socket;

    RawCaller(HostPort address) throws IOException {
        socket = new Socket(address.host(), address.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Sends a GET request with extra header lines, each terminated by CR LF. */
    void get(String path, String extraHeaderLines) throws IOException {
        write("GET " + path + " HTTP/1.1\r\nhost: one.example\r\n" + extraHeaderLines + "\r\n");
    }

    InputStream inputStream() throws IOException {
        return socket.getInputStream();
    }

    OutputStream outputStream() throws IOException {
        return socket.getOutputStream();
    }

    /**
     * Reads until the connection ends.
     *
     * @throws SocketTimeoutException if nothing arrives within the read timeout and the connection does not end
     */
    String readToEnd() throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            for (int count = socket.getInputStream().read(buffer);
                    count >= 0;
                    count = socket.getInputStream().read(buffer)) {
                received.write(buffer, 0, count);
            }
        } catch (SocketException e) {
            // A reset also ends the connection.
        }
        return received.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

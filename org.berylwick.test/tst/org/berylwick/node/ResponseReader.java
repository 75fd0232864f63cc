package org.berylwick.node;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads responses from the connection of a caller. */
final class ResponseReader {
    private ResponseReader() {}

    /** Reads one response with a content length; appends {@code [closed]} if the connection ended early. */
    static String read(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return text + "[closed]";
            }
            text.append((char) c);
        }
        String head = text.toString();
        int headerStart = head.toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
        if (headerStart < 0) {
            return head;
        }
        int length = Integer.parseInt(head.substring(headerStart + 16, head.indexOf('\r', headerStart))
                .strip());
        byte[] body = in.readNBytes(length);
        return head + new String(body, StandardCharsets.ISO_8859_1) + (body.length < length ? "[closed]" : "");
    }
}

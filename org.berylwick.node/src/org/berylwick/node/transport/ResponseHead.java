package org.berylwick.node.transport;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/** Checks on the head of a response. */
final class ResponseHead {
    private static final String PROTOCOL = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private ResponseHead() {}

    /**
     * Returns where a head contains a second status line: the name of the header, or "reason" for the reason phrase.
     *
     * <p>If a server breaks a response off within its head and continues with another response, the status line of the
     * latter ends up in the element that was broken off.
     */
    static Optional<String> headerWithStatusLine(HttpResponse head) {
        if (containsStatusLine(head.status().reasonPhrase())) {
            return Optional.of("reason");
        }
        Iterator<Map.Entry<CharSequence, CharSequence>> headers = head.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            if (containsStatusLine(header.getValue().toString())) {
                return Optional.of(header.getKey().toString());
            }
        }
        return Optional.empty();
    }

    private static boolean containsStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}

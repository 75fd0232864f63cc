package org.berylwick.internal.idempotency;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.berylwick.lib.Digest;

/** What two requests must share to count as the same request under one key. */
public final class RequestFingerprint {
    private static final char SEPARATOR = '\n';

    private RequestFingerprint() {}

    /**
     * Hashes what makes the request.
     *
     * @param method the request method
     * @param path path and query
     * @param authorization value of the header of that name, empty if absent; without it, a stranger who guesses a key
     *     would be given somebody else's answer
     * @param contentLength declared length of the body in bytes, -1 if none is declared
     * @param body the body, or nothing if it is streamed and not known yet
     */
    public static Digest of(String method, String path, String authorization, long contentLength, byte[] body) {
        String head = method + SEPARATOR + path + SEPARATOR + authorization + SEPARATOR + contentLength + SEPARATOR;
        ByteArrayOutputStream input = new ByteArrayOutputStream();
        input.writeBytes(head.getBytes(StandardCharsets.UTF_8));
        input.writeBytes(body);
        return Digest.of(input.toByteArray());
    }
}

package org.berylwick.internal.idempotency;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.berylwick.lib.Digest;

/** The fingerprint by which a repetition of a request is told from another request with the same key. */
public final class RequestFingerprint {
    private static final char SEPARATOR = '\n';

    private RequestFingerprint() {}

    /**
     * Hashes the parts of a request that must be equal in a repetition of it.
     *
     * @param method the request method
     * @param path the path and query
     * @param authorization the value of the {@code Authorization} header, empty if absent; it is included because
     *     otherwise a client that guesses another client's key would receive the response to that client's request
     * @param contentLength the declared length of the body in bytes, -1 if not declared
     * @param body the body; empty if it is streamed and therefore not known yet
     */
    public static Digest of(String method, String path, String authorization, long contentLength, byte[] body) {
        String head = method + SEPARATOR + path + SEPARATOR + authorization + SEPARATOR + contentLength + SEPARATOR;
        ByteArrayOutputStream input = new ByteArrayOutputStream();
        input.writeBytes(head.getBytes(StandardCharsets.UTF_8));
        input.writeBytes(body);
        return Digest.of(input.toByteArray());
    }
}

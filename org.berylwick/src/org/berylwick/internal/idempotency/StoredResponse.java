package org.berylwick.internal.idempotency;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * The complete response of a backend server, stored to be replayed to repetitions of the request.
 *
 * @param status the HTTP status code
 * @param headers the response headers, without those that apply only to a connection or a single request
 * @param body the complete body
 */
public record StoredResponse(int status, List<Header> headers, byte[] body) {
    /** One header line. */
    public record Header(String name, String value) {}

    /** Makes a defensive copy of the list. */
    public StoredResponse {
        headers = List.copyOf(headers);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredResponse response
                && status == response.status
                && headers.equals(response.headers)
                && Arrays.equals(body, response.body);
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, headers, Arrays.hashCode(body));
    }
}

package org.berylwick.internal.idempotency;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * A backend server's whole answer, as a repeat is given it.
 *
 * @param status the HTTP status code
 * @param headers those that belong to the answer and not to a connection or one request
 * @param body the whole body
 */
public record StoredResponse(int status, List<Header> headers, byte[] body) {
    /** One header line. */
    public record Header(String name, String value) {}

    /** Copies the list. */
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

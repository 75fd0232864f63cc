package org.berylwick.testing;

import java.util.List;
import java.util.function.UnaryOperator;

/**
 * A response head that the grammar of HTTP/1.1 (RFC 9110 and RFC 9112) does not allow.
 *
 * @param description the invalid part, and where it stands
 * @param change makes the head of a valid response invalid
 */
public record InvalidHead(String description, UnaryOperator<String> change) {
    private static final List<String> INVALID_STATUSES = List.of(
            "000",
            "001",
            "099",
            "600",
            "601",
            "700",
            "999",
            "20",
            "2",
            "2x0",
            "-20",
            "+200",
            "0x0",
            "1000",
            "2000",
            "0200",
            "200.0",
            "200\u000bOK",
            "");

    /** Heads with a status code outside of 100 to 599, or with none. */
    public static List<InvalidHead> withInvalidStatus() {
        return INVALID_STATUSES.stream().map(InvalidHead::withStatus).toList();
    }

    private static InvalidHead withStatus(String status) {
        return new InvalidHead(
                "status " + status, response -> "HTTP/1.1 " + status + response.substring("HTTP/1.1 200".length()));
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        description.chars().forEach(c -> text.append(c < 32 || c > 126 ? String.format("\\x%02x", c) : (char) c));
        return text.toString();
    }
}

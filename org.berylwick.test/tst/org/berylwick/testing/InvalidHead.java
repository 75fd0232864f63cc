package org.berylwick.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

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

    /** Bytes that a header name may not contain; a line that begins with whitespace continues the one before. */
    private static final String INVALID_NAME_BYTES = " \t\0\u0001\u000b\u000c\u001b\u007f\u0085\u00a0\u00e4\u00ff(/@\"";

    private static final List<String> OTHER_INVALID_LINES = List.of(
            "Connection : close",
            "Transfer-Encoding : chunked",
            "Transfer-Encoding\t: chunked",
            "Content-Length : 1",
            "x\rpad: 1",
            ": 1",
            "xpad",
            "x pad");

    /** Heads with a status code outside of 100 to 599, or with none. */
    public static List<InvalidHead> withInvalidStatus() {
        return INVALID_STATUSES.stream().map(InvalidHead::withStatus).toList();
    }

    private static InvalidHead withStatus(String status) {
        return new InvalidHead(
                "status " + status, response -> "HTTP/1.1 " + status + response.substring("HTTP/1.1 200".length()));
    }

    /** Heads with a byte that a header name may not contain at the start of a name, within it and at its end. */
    public static List<InvalidHead> withInvalidName() {
        List<String> lines = new ArrayList<>(OTHER_INVALID_LINES);
        for (char c : INVALID_NAME_BYTES.toCharArray()) {
            lines.add("x" + c + "pad: 1");
            lines.add("xpad" + c + ": 1");
            if (c != ' ' && c != '\t') {
                lines.add(c + "xpad: 1");
            }
        }
        return lines.stream()
                .flatMap(line -> Stream.of(withLine(line, true), withLine(line, false)))
                .toList();
    }

    /** A head with an additional line, the first or the last one of its headers. */
    private static InvalidHead withLine(String line, boolean first) {
        return new InvalidHead((first ? "first line " : "last line ") + line, response -> {
            int index = response.indexOf(first ? "\r\n" : "\r\n\r\n");
            return response.substring(0, index) + "\r\n" + line + response.substring(index);
        });
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        description.chars().forEach(c -> text.append(c < 32 || c > 126 ? String.format("\\x%02x", c) : (char) c));
        return text.toString();
    }
}

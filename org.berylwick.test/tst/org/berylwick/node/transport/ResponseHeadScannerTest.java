package org.berylwick.node.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.berylwick.node.transport.ResponseHeadScanner.Result;
import org.junit.jupiter.api.Test;

/** Guards against a head that is invalid in HTTP and is decoded all the same. */
class ResponseHeadScannerTest {
    private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

    /** Scans a head in two reads, and checks that the result does not depend on where the first one ends. */
    private static Result scan(String head) {
        ByteBuf bytes = Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1);
        Result result = new ResponseHeadScanner().scan(bytes);
        for (int length = 0; length < head.length(); length++) {
            ResponseHeadScanner scanner = new ResponseHeadScanner();
            Result first = scanner.scan(bytes.slice(0, length));
            assertEquals(result, first == Result.VALID ? scanner.scan(bytes) : first, head + " after " + length);
        }
        return result;
    }

    private static String head(String status, String line) {
        return "HTTP/1.1 " + status + " OK\r\nx-first: 1\r\n" + line + "\r\nx-last: 1\r\n\r\n";
    }

    @Test
    void onlyStatusCodesFrom100To599AreValid() {
        for (int code = 0; code < 1_000; code++) {
            Result expected = code >= 100 && code < 600 ? Result.VALID : Result.INVALID_STATUS_CODE;
            assertEquals(expected, scan(head(String.format("%03d", code), "x: 1")), "status " + code);
        }
    }

    @Test
    void statusCodeEndsAfterThreeDigits() {
        for (String status : List.of("2", "20", "2000", "200.", "200\t", "200\u000b", "2 0", "-20", "")) {
            assertEquals(Result.INVALID_STATUS_CODE, scan(head(status, "x: 1")), "status " + status);
        }
        assertEquals(Result.VALID, scan("HTTP/1.1 200\r\nx: 1\r\n\r\n"));
        assertEquals(Result.VALID, scan("HTTP/1.1 200 \nx: 1\n\n"));
        assertEquals(Result.VALID, scan("HTTP/1.1 200\n\n"));
    }

    @Test
    void eachByteOfNameIsPartOfToken() {
        for (char c = 0; c < 256; c++) {
            if (c == ':' || c == '\n') {
                continue;
            }
            boolean valid = c < 128 && (Character.isLetterOrDigit(c) || NAME_SYMBOLS.indexOf(c) >= 0);
            Result expected = valid ? Result.VALID : Result.INVALID_HEADER_NAME;
            assertEquals(expected, scan(head("200", "x" + c + "y: 1")), "byte " + (int) c + " within a name");
            assertEquals(expected, scan(head("200", "xy" + c + ": 1")), "byte " + (int) c + " before the colon");
            boolean continuation = c == ' ' || c == '\t';
            assertEquals(
                    continuation ? Result.VALID : expected,
                    scan(head("200", c + "xy: 1")),
                    "byte " + (int) c + " at the start");
        }
    }

    @Test
    void lineNeedsNameAndColon() {
        assertEquals(Result.INVALID_HEADER_NAME, scan(head("200", ": 1")));
        assertEquals(Result.INVALID_HEADER_NAME, scan(head("200", "x")));
        assertEquals(Result.INVALID_HEADER_NAME, scan(head("200", "x\r")));
    }

    @Test
    void valuesAreNotNames() {
        assertEquals(Result.VALID, scan(head("200", "x: a b: c (d)\u00e4")));
        assertEquals(Result.VALID, scan(head("200", "x:")));
        assertEquals(Result.VALID, scan(head("200", "x: a\r\n b c\r\n\t: d")));
    }

    /** An invalid name may be that of a head that was broken off before another one. */
    @Test
    void secondStatusLineWithinNameIsReportedAsSuch() {
        assertEquals(Result.SECOND_STATUS_LINE, scan(head("200", "x-pHTTP/1.1 500 Error")));
        assertEquals(Result.STATUS_LINE_IN_VALUE, scan(head("200", "x-p: aHTTP/1.1 500 Error")));
    }

    @Test
    void headAfterStatusLineInValueIsStillValidated() {
        ResponseHeadScanner scanner = new ResponseHeadScanner();
        ByteBuf bytes =
                Unpooled.copiedBuffer(head("200", "via: HTTP/1.1 200 OK\r\nx y: 1"), StandardCharsets.ISO_8859_1);
        assertEquals(Result.STATUS_LINE_IN_VALUE, scanner.scan(bytes));
        assertEquals(Result.INVALID_HEADER_NAME, scanner.scan(bytes));
    }
}

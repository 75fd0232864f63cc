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
}

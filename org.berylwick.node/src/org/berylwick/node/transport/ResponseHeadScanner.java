package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Looks for status lines in the bytes of a response head, before they are decoded.
 *
 * <p>If a server breaks a response off within its head and continues with another response, the status line of the
 * latter stands in the middle of one head. The decoder would trim, shorten or drop the element that contains it.
 */
final class ResponseHeadScanner {
    private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] PROTOCOL = "http/".getBytes(StandardCharsets.US_ASCII);
    private static final int LOWER_CASE_BIT = 0x20;

    /** What the bytes scanned so far show. */
    enum Result {
        /** They are a head, or the beginning of one, with one status line. */
        ONE_STATUS_LINE,
        /** They do not begin with a status line. */
        NO_STATUS_LINE,
        /** Another status line follows the first one, outside of the value of a header. */
        SECOND_STATUS_LINE,
        /** The value of a header contains a status line. */
        STATUS_LINE_IN_VALUE
    }

    private boolean ended;
    private int scannedUnread;
    private int headBytes;
    private int lines;
    private int lineBytes;
    private int protocolBytes;
    private boolean inValue;
    private byte previous;

    /** Prepares for the next head. */
    void reset() {
        ended = false;
        scannedUnread = 0;
        headBytes = 0;
        lines = 0;
        lineBytes = 0;
        protocolBytes = 0;
        inValue = false;
        previous = 0;
    }

    /** Returns the number of bytes of the head that were scanned. */
    int headBytes() {
        return headBytes;
    }

    /** Scans the readable bytes that have not been scanned yet, as far as they belong to the head. */
    Result scan(ByteBuf in) {
        for (int i = in.readerIndex() + scannedUnread; i < in.writerIndex() && !ended; i++) {
            scannedUnread++;
            Result result = scan(in.getByte(i));
            if (result != Result.ONE_STATUS_LINE) {
                return result;
            }
        }
        return Result.ONE_STATUS_LINE;
    }

    /** Called when bytes that were readable at the last scan have been read. */
    void onRead(int bytes) {
        scannedUnread = Math.max(0, scannedUnread - bytes);
    }

    private Result scan(byte next) {
        if (headBytes == 0 && isLineBreak(next)) {
            return Result.ONE_STATUS_LINE;
        }
        if (headBytes < START.length && next != START[headBytes]) {
            return Result.NO_STATUS_LINE;
        }
        headBytes++;
        if (next == '\n') {
            ended = lineBytes - (previous == '\r' ? 1 : 0) == 0;
            lineBytes = 0;
            lines++;
            inValue = false;
        } else {
            lineBytes++;
            // The first line has no name, and a colon in its reason phrase ends none.
            inValue |= next == ':' && lines > 0;
        }
        previous = next;
        if (!startsProtocolVersion(next) || headBytes <= START.length) {
            return Result.ONE_STATUS_LINE;
        }
        return inValue ? Result.STATUS_LINE_IN_VALUE : Result.SECOND_STATUS_LINE;
    }

    /** Whether a byte is the first digit of a protocol version. */
    private boolean startsProtocolVersion(byte next) {
        if (protocolBytes == PROTOCOL.length) {
            protocolBytes = 0;
            if (next >= '0' && next <= '9') {
                return true;
            }
        }
        int lowerCase = next | LOWER_CASE_BIT;
        if (lowerCase == PROTOCOL[protocolBytes]) {
            protocolBytes++;
        } else {
            protocolBytes = lowerCase == PROTOCOL[0] ? 1 : 0;
        }
        return false;
    }

    static boolean isLineBreak(byte next) {
        return next == '\r' || next == '\n';
    }
}

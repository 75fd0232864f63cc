package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Validates the status line and the header names of a response head, before they are decoded.
 *
 * <p>The decoder is lenient: it takes any number for a status code, ends a header name at the first whitespace, and
 * drops what stands between that and the colon. So an invalid head could be taken for a response, or one header for
 * another.
 *
 * <p>If a server breaks a response off within its head and continues with another response, the status line of the
 * latter stands in the middle of one head. The decoder would trim, shorten or drop the element that contains it.
 */
public final class ResponseHeadScanner {
    /** How a head begins; 0 stands for any digit. */
    private static final byte[] START = "HTTP/1.0 000".getBytes(StandardCharsets.US_ASCII);

    private static final int STATUS_INDEX = START.length - 3;
    /** Characters of a header name besides letters and digits (RFC 9110, section 5.6.2). */
    private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

    /** What the bytes scanned so far show. */
    public enum Result {
        /** They are a head, or the beginning of one, with one status line and valid header names. */
        VALID,
        /** They do not begin with a status line. */
        NO_STATUS_LINE,
        /** The status code does not consist of three digits, or is not within 100 and 599. */
        INVALID_STATUS_CODE,
        /** A line has no header name, one that is not a token, or whitespace between the name and the colon. */
        INVALID_HEADER_NAME,
        /** Another status line follows the first one, outside of the value of a header. */
        SECOND_STATUS_LINE,
        /** The value of a header contains a status line. */
        STATUS_LINE_IN_VALUE
    }

    private final StatusLineMatcher statusLine = new StatusLineMatcher();
    private boolean ended;
    private int scannedUnread;
    private int headBytes;
    private int lines;
    private int lineBytes;
    private boolean inValue;
    private boolean inName;
    private boolean nameValid;
    private byte previous;

    /** Creates a scanner of the first head. */
    public ResponseHeadScanner() {}

    /** Prepares for the next head. */
    public void reset() {
        ended = false;
        scannedUnread = 0;
        headBytes = 0;
        lines = 0;
        lineBytes = 0;
        statusLine.reset();
        inValue = false;
        inName = false;
        nameValid = false;
        previous = 0;
    }

    /** Returns the number of bytes of the head that were scanned. */
    int headBytes() {
        return headBytes;
    }

    /** Scans the readable bytes that have not been scanned yet, as far as they belong to the head. */
    public Result scan(ByteBuf in) {
        for (int i = in.readerIndex() + scannedUnread; i < in.writerIndex() && !ended; i++) {
            scannedUnread++;
            Result result = scan(in.getByte(i));
            if (result != Result.VALID) {
                return result;
            }
        }
        return Result.VALID;
    }

    /** Called when bytes that were readable at the last scan have been read. */
    public void onRead(int bytes) {
        scannedUnread = Math.max(0, scannedUnread - bytes);
    }

    private Result scan(byte next) {
        if (headBytes == 0 && isLineBreak(next)) {
            return Result.VALID;
        }
        if (headBytes <= START.length && !continuesStart(next)) {
            return headBytes < STATUS_INDEX ? Result.NO_STATUS_LINE : Result.INVALID_STATUS_CODE;
        }
        boolean nameEndsInvalid = !continuesName(next);
        headBytes++;
        if (next == '\n') {
            ended = isLineEmpty();
            lineBytes = 0;
            lines++;
            inValue = false;
        } else {
            lineBytes++;
            // The first line has no name, and a colon in its reason phrase ends none.
            inValue |= next == ':' && lines > 0;
        }
        previous = next;
        if (nameEndsInvalid) {
            return Result.INVALID_HEADER_NAME;
        }
        if (!statusLine.endsWith(next) || headBytes == START.length) {
            return Result.VALID;
        }
        return inValue ? Result.STATUS_LINE_IN_VALUE : Result.SECOND_STATUS_LINE;
    }

    private boolean continuesStart(byte next) {
        if (headBytes == START.length) {
            return next == ' ' || isLineBreak(next);
        }
        if (headBytes == STATUS_INDEX) {
            return next >= '1' && next <= '5';
        }
        byte expected = START[headBytes];
        return expected == '0' ? next >= '0' && next <= '9' : next == expected;
    }

    /**
     * Returns false if a byte ends a header name that is invalid. An invalid name is not reported before its end, as it
     * may contain a second status line.
     */
    private boolean continuesName(byte next) {
        if (lineBytes == 0) {
            // A line that begins with whitespace continues the value before.
            inName = lines > 0 && next != ' ' && next != '\t' && next != '\n';
            nameValid = inName && next != ':';
        }
        if (!inName) {
            return true;
        }
        if (next == ':') {
            inName = false;
            return nameValid;
        }
        if (next == '\n') {
            return isLineEmpty();
        }
        nameValid &= isNameByte(next);
        return true;
    }

    /** Whether the current line, which a line feed ends, has no other bytes than its line break. */
    private boolean isLineEmpty() {
        return lineBytes - (previous == '\r' ? 1 : 0) == 0;
    }

    private static boolean isNameByte(byte next) {
        boolean letter = next >= 'a' && next <= 'z' || next >= 'A' && next <= 'Z';
        return letter || next >= '0' && next <= '9' || NAME_SYMBOLS.indexOf(next) >= 0;
    }

    static boolean isLineBreak(byte next) {
        return next == '\r' || next == '\n';
    }
}

package org.berylwick.node.transport;

import java.nio.charset.StandardCharsets;

/**
 * Finds what a decoder could take for the beginning of a status line, byte by byte: the protocol in any case, a
 * version, blanks, and the three digits of a status.
 */
final class StatusLineMatcher {
    private static final byte[] PROTOCOL = "http/".getBytes(StandardCharsets.US_ASCII);
    private static final int LOWER_CASE_BIT = 0x20;
    private static final int STATUS_DIGITS = 3;

    private enum Element {
        PROTOCOL,
        MAJOR_VERSION,
        MINOR_VERSION,
        BLANKS,
        STATUS
    }

    private Element element = Element.PROTOCOL;
    /** Number of bytes matched of the current element. */
    private int matched;

    void reset() {
        enter(Element.PROTOCOL, 0);
    }

    /** Returns whether a byte is the last one of the beginning of a status line. */
    boolean endsWith(byte next) {
        if (element == Element.STATUS && isDigit(next)) {
            return ++matched == STATUS_DIGITS;
        }
        if (!continues(next)) {
            enter(Element.PROTOCOL, isProtocolByte(next, 0) ? 1 : 0);
        }
        return false;
    }

    private boolean continues(byte next) {
        return switch (element) {
            case PROTOCOL -> continuesProtocol(next);
            case MAJOR_VERSION -> isDigit(next) && count() || next == '.' && endElement(Element.MINOR_VERSION);
            case MINOR_VERSION -> isDigit(next) && count() || isBlank(next) && endElement(Element.BLANKS);
            case BLANKS -> isBlank(next) || isDigit(next) && enter(Element.STATUS, 1);
            case STATUS -> false;
        };
    }

    private boolean continuesProtocol(byte next) {
        if (!isProtocolByte(next, matched)) {
            return false;
        }
        return ++matched < PROTOCOL.length || enter(Element.MAJOR_VERSION, 0);
    }

    private boolean count() {
        matched++;
        return true;
    }

    /** Goes on to the next element if the current one is not empty. */
    private boolean endElement(Element nextElement) {
        return matched > 0 && enter(nextElement, 0);
    }

    private boolean enter(Element nextElement, int bytes) {
        element = nextElement;
        matched = bytes;
        return true;
    }

    private static boolean isProtocolByte(byte next, int index) {
        return (next | LOWER_CASE_BIT) == PROTOCOL[index];
    }

    private static boolean isDigit(byte next) {
        return next >= '0' && next <= '9';
    }

    private static boolean isBlank(byte next) {
        return next == ' ' || next == '\t';
    }
}

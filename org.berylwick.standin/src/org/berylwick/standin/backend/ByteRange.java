package org.berylwick.standin.backend;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One satisfiable range of a body.
 *
 * @param first offset of the first byte
 * @param last offset of the last byte, inclusive
 */
record ByteRange(long first, long last) {
    private static final Pattern SINGLE = Pattern.compile("bytes=(\\d+)-(\\d*)");

    /** Reads a {@code Range} header; empty if it names no single range within {@code length} bytes. */
    static Optional<ByteRange> fromHeader(String header, long length) {
        Matcher m = SINGLE.matcher(header);
        if (!m.matches()) {
            return Optional.empty();
        }
        long first = Long.parseLong(m.group(1));
        long last = m.group(2).isEmpty() ? length - 1 : Math.min(length - 1, Long.parseLong(m.group(2)));
        return first > last ? Optional.empty() : Optional.of(new ByteRange(first, last));
    }

    long length() {
        return last - first + 1;
    }
}

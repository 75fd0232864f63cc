package org.berylwick.node.quarantine;

import java.util.Optional;
import java.util.function.LongUnaryOperator;
import org.berylwick.node.lib.RequestFingerprint;
import org.berylwick.node.lib.SuspectReport;

/**
 * Text form of a crash: hash code of the path, digest, generation, incarnation and time, separated by semicolons. What
 * the time counts from is for those to agree who exchange the text, since their clocks differ.
 */
public final class CrashText {
    private static final int FIELD_COUNT = 5;

    private CrashText() {}

    /**
     * Encodes a crash.
     *
     * @param crash the crash
     * @param time its time, in the terms of the reader
     */
    public static String encode(SuspectReport.Crashed crash, long time) {
        return crash.request().uriHash()
                + ";"
                + crash.request().digest()
                + ';'
                + crash.generation()
                + ';'
                + crash.incarnation()
                + ';'
                + time;
    }

    /**
     * Decodes a crash.
     *
     * @param text the text
     * @param toNanoTime converts the time to that of {@link System#nanoTime} in this process
     * @return the crash, empty if the text is not valid
     */
    public static Optional<SuspectReport.Crashed> decode(String text, LongUnaryOperator toNanoTime) {
        String[] fields = text.split(";");
        if (fields.length != FIELD_COUNT) {
            return Optional.empty();
        }
        try {
            return Optional.of(new SuspectReport.Crashed(
                    new RequestFingerprint(Integer.parseInt(fields[0]), Long.parseLong(fields[1])),
                    Integer.parseInt(fields[2]),
                    Integer.parseInt(fields[3]),
                    toNanoTime.applyAsLong(Long.parseLong(fields[4]))));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}

package org.berylwick.pgm;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads and prints times as operators write them. */
final class Times {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,6})(ms|s|m|h|d)");

    private Times() {}

    /**
     * Reads a length of time such as {@code 30s} or {@code 2h}.
     *
     * @throws BadInputException if it is none
     */
    static Duration duration(String option, String text) {
        Matcher m = DURATION.matcher(text);
        if (!m.matches()) {
            throw new BadInputException(Messages.text(Message.BAD_DURATION, option, text));
        }
        long number = Long.parseLong(m.group(1));
        return switch (m.group(2)) {
            case "ms" -> Duration.ofMillis(number);
            case "s" -> Duration.ofSeconds(number);
            case "m" -> Duration.ofMinutes(number);
            case "h" -> Duration.ofHours(number);
            default -> Duration.ofDays(number);
        };
    }

    /** UTC to the second; a hyphen for none. */
    static String utc(long epochMillis) {
        return epochMillis == 0
                ? "-"
                : Instant.ofEpochMilli(epochMillis)
                        .truncatedTo(ChronoUnit.SECONDS)
                        .toString();
    }
}

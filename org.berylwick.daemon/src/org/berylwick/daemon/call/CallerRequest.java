package org.berylwick.daemon.call;

import com.linecorp.armeria.common.RequestHeaders;
import java.util.List;
import java.util.Optional;

/** What a caller's headers say about how its request is to be treated. */
sealed interface CallerRequest {
    /**
     * Headers that keep the rules.
     *
     * @param host the authority without port, empty without one
     * @param requestId as the caller named it, if it did
     * @param timeoutMillis how long the caller waits, if it said so
     */
    record Valid(String host, Optional<String> requestId, Optional<Long> timeoutMillis) implements CallerRequest {}

    /**
     * Headers that break a rule.
     *
     * @param detail which one, for the caller
     */
    record Malformed(String detail) implements CallerRequest {}

    /** Longest request id that is accepted. */
    int MAX_REQUEST_ID_LENGTH = 128;

    /** Longest timeout that is accepted, a day: more is a mistake and would overflow deadlines. */
    long MAX_TIMEOUT_MILLIS = 86_400_000;

    /** Reads a request's headers. */
    static CallerRequest parse(RequestHeaders headers) {
        List<String> requestIds = headers.getAll(CallHeaders.REQUEST_ID);
        if (requestIds.size() > 1) {
            return new Malformed("x-request-id is given more than once");
        }
        Optional<String> requestId =
                requestIds.stream().filter(value -> !value.isEmpty()).findFirst();
        if (requestId.isPresent() && !isValidRequestId(requestId.get())) {
            return new Malformed("x-request-id must be at most 128 visible ASCII characters");
        }
        List<String> timeouts = headers.getAll(CallHeaders.TIMEOUT_MILLIS);
        if (timeouts.size() > 1) {
            return new Malformed("x-request-timeout-ms is given more than once");
        }
        Optional<Long> timeoutMillis = Optional.empty();
        if (!timeouts.isEmpty()) {
            timeoutMillis = parseMillis(timeouts.getFirst());
            if (timeoutMillis.isEmpty()) {
                return new Malformed("x-request-timeout-ms must be a whole number of milliseconds, at most a day");
            }
        }
        return new Valid(hostOf(headers.authority()), requestId, timeoutMillis);
    }

    private static boolean isValidRequestId(String id) {
        return id.length() <= MAX_REQUEST_ID_LENGTH && id.chars().allMatch(c -> c > ' ' && c < 0x7f);
    }

    private static Optional<Long> parseMillis(String text) {
        try {
            long millis = Long.parseLong(text.strip());
            return millis < 0 || millis > MAX_TIMEOUT_MILLIS ? Optional.empty() : Optional.of(millis);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static String hostOf(String authority) {
        if (authority == null) {
            return "";
        }
        int colon = authority.lastIndexOf(':');
        return colon < 0 ? authority : authority.substring(0, colon);
    }
}

package org.berylwick.daemon.call;

import com.linecorp.armeria.common.RequestHeaders;
import java.util.List;
import java.util.Optional;

/** Result of validating the headers of a caller's request. */
sealed interface CallerRequest {
    /**
     * Valid headers.
     *
     * @param host authority without the port, empty if the request has no authority
     * @param requestId request id chosen by the caller, if any
     * @param timeoutMillis time for which the caller waits, if stated
     */
    record Valid(String host, Optional<String> requestId, Optional<Long> timeoutMillis) implements CallerRequest {}

    /**
     * Invalid headers.
     *
     * @param detail description of the error, sent to the caller
     */
    record Malformed(String detail) implements CallerRequest {}

    /** Maximum length of a request id in characters. */
    int MAX_REQUEST_ID_LENGTH = 128;

    /** Maximum timeout, one day. A larger value is a mistake of the caller and would overflow deadlines. */
    long MAX_TIMEOUT_MILLIS = 86_400_000;

    /** Parses and validates the headers of a request. */
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

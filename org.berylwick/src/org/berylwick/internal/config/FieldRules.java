package org.berylwick.internal.config;

import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** What single values in declarations must look like; each rule answers what is wrong, or nothing. */
final class FieldRules {
    private static final int MAX_HOST_LENGTH = 253;
    private static final int MAX_HEADER_VALUE_LENGTH = 4_096;
    private static final Pattern HOST_LABEL = Pattern.compile("[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?");
    private static final Pattern HEADER_NAME = Pattern.compile("[A-Za-z0-9!#$%&'*+.^_`|~-]{1,100}");
    private static final Pattern HEADER_VALUE = Pattern.compile("[\\x20-\\x7e]*");
    private static final Pattern PATH = Pattern.compile("/[A-Za-z0-9._~/-]*");
    private static final Pattern LABEL_KEY = Pattern.compile("[A-Za-z0-9]([A-Za-z0-9._/-]{0,126}[A-Za-z0-9])?");
    private static final Pattern LABEL_VALUE = Pattern.compile("[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?");

    /** Headers that the daemons themselves set, or that belong to one connection or one message. */
    private static final Set<String> RESERVED_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "content-length",
            "content-type",
            "content-encoding",
            "expect",
            "range",
            "if-range",
            "authorization",
            "cookie",
            "idempotency-key",
            "x-brand",
            "x-request-id",
            "x-request-timeout-ms",
            "x-shed");

    private static final String INTERNAL_PREFIX = "berylwick-";

    private FieldRules() {}

    static Optional<String> hostFault(String host) {
        if (host.isEmpty() || host.length() > MAX_HOST_LENGTH) {
            return Optional.of("host '" + host + "' must have 1 to " + MAX_HOST_LENGTH + " characters");
        }
        for (String label : host.split("\\.", -1)) {
            if (!HOST_LABEL.matcher(label).matches()) {
                return Optional.of("host '" + host + "' must be labels of letters, digits and inner hyphens joined by"
                        + " dots, without a port");
            }
        }
        return Optional.empty();
    }

    static Optional<String> headerFault(String name, String value) {
        if (!HEADER_NAME.matcher(name).matches()) {
            return Optional.of("'" + name + "' is not a header name");
        }
        String lower = name.toLowerCase(Locale.ROOT);
        if (RESERVED_HEADERS.contains(lower) || lower.startsWith(INTERNAL_PREFIX)) {
            return Optional.of("header '" + name + "' is set by callers, connections or daemons, not by brands");
        }
        if (value.length() > MAX_HEADER_VALUE_LENGTH
                || !HEADER_VALUE.matcher(value).matches()) {
            return Optional.of("the value of header '" + name + "' must be at most " + MAX_HEADER_VALUE_LENGTH
                    + " printable ASCII characters");
        }
        return Optional.empty();
    }

    /** Header names are the same in any case, so two spellings of one would leave it open which value counts. */
    static Optional<String> repeatedHeaderFault(Set<String> names) {
        Set<String> seen = new HashSet<>();
        return names.stream()
                .filter(n -> !seen.add(n.toLowerCase(Locale.ROOT)))
                .findFirst()
                .map(n -> "header '" + n + "' is given twice, in different case");
    }

    static Optional<String> labelFault(String key, String value) {
        if (!LABEL_KEY.matcher(key).matches()) {
            return Optional.of(
                    "'" + key + "' cannot be selected by: a key is up to 128 letters, digits and inner . _ / -");
        }
        if (!LABEL_VALUE.matcher(value).matches()) {
            return Optional.of("'" + value + "' of '" + key
                    + "' cannot be selected by: a value is up to 128 letters, digits and inner . _ -");
        }
        return Optional.empty();
    }

    static Optional<String> pathFault(String path) {
        if (!PATH.matcher(path).matches()) {
            return Optional.of("must begin with '/' and hold only letters, digits and . _ ~ / -");
        }
        for (String segment : path.substring(1).split("/", -1)) {
            if (segment.equals(".") || segment.equals("..")) {
                return Optional.of("must not hold the segments '.' and '..'");
            }
        }
        if (path.contains("//")) {
            return Optional.of("must not hold an empty segment");
        }
        return Optional.empty();
    }
}

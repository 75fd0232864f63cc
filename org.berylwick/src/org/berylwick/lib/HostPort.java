package org.berylwick.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A TCP address.
 *
 * @param host IP number or host name
 * @param port 0 to 65535; 0 asks the system for a free one when listening
 */
public record HostPort(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** @throws IllegalArgumentException if the port is out of range or the host blank */
    public HostPort {
        if (host.isBlank() || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("not host:port: " + host + ":" + port);
        }
    }

    /**
     * Reads {@code host:port}.
     *
     * @throws IllegalArgumentException if it isn't
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static HostPort fromString(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("not host:port: " + text);
        }
        try {
            return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not host:port: " + text, e);
        }
    }

    @Override
    @JsonValue
    public String toString() {
        return host + ":" + port;
    }
}

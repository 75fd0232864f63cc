package org.berylwick.errors;

/** Why a call to another daemon did not succeed. */
public sealed interface PeerError {
    /** No connection, or no whole answer in time. */
    record Unavailable(String detail) implements PeerError {}

    /** The answer cannot be read or does not have the digest that was promised. */
    record Malformed(String detail) implements PeerError {}
}

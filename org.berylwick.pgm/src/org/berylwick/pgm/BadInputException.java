package org.berylwick.pgm;

/** An argument that cannot be used; its message says why and what to write instead. */
final class BadInputException extends RuntimeException {
    private static final long serialVersionUID = 1;

    BadInputException(String message) {
        super(message);
    }
}

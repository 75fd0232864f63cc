package org.berylwick.standin.platform;

/** What the platform counts calls by. */
public enum CallKind {
    /** One object or a list was read. */
    READ,
    /** One object was written or deleted. */
    WRITE,
    /** A change was waited for; one call, however long it waits. */
    WATCH
}

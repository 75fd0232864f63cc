package org.berylwick.internal.spread;

import org.berylwick.lib.Member;

/** What a daemon says of itself. */
public interface LocalMember {
    /** The record to announce now. */
    Member current();

    /** Goes on with a higher incarnation, as others said something of this one that is not so. */
    void refute(long incarnation);
}

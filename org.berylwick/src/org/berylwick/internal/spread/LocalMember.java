package org.berylwick.internal.spread;

import org.berylwick.lib.Member;

/** Membership record of the local daemon. */
public interface LocalMember {
    /** Returns the record to announce to other daemons now. */
    Member current();

    /**
     * Raises the incarnation to refute a false claim of other daemons about the current one.
     *
     * @param incarnation new incarnation
     */
    void refute(long incarnation);
}

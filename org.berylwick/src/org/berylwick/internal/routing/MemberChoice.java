package org.berylwick.internal.routing;

import org.berylwick.lib.Member;
import org.berylwick.lib.RefusalReason;

/** What became of looking for a member for one attempt. */
public sealed interface MemberChoice {
    /** Send it there. */
    record Chosen(Member member) implements MemberChoice {}

    /**
     * Every member that may take the request was tried by it already.
     *
     * @param member the least loaded of them, for whoever wants to wait and ask again
     */
    record AllTried(Member member) implements MemberChoice {}

    /**
     * No member may take the request.
     *
     * @param reason {@code STARTING} or {@code LEAVING} if that is what keeps members from it
     */
    record NoMember(RefusalReason reason) implements MemberChoice {}
}

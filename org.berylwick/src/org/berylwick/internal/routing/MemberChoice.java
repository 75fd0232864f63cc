package org.berylwick.internal.routing;

import org.berylwick.lib.Member;
import org.berylwick.lib.RefusalReason;

/** Result of choosing a member for one attempt of a request. */
public sealed interface MemberChoice {
    /** The attempt goes to this member. */
    record Chosen(Member member) implements MemberChoice {}

    /**
     * Every eligible member has already refused this request.
     *
     * @param member the less loaded of two randomly drawn ones, for callers that wait and try again
     */
    record AllTried(Member member) implements MemberChoice {}

    /**
     * No member is eligible for the request.
     *
     * @param reason {@code STARTING} or {@code LEAVING} if members exist but are in that state, otherwise
     *     {@code NO_MEMBER}
     */
    record NoMember(RefusalReason reason) implements MemberChoice {}
}

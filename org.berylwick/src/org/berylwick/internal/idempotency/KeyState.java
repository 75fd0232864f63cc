package org.berylwick.internal.idempotency;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What is recorded of the one run that a key allows. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "state")
@JsonSubTypes({
    @JsonSubTypes.Type(value = KeyState.Claimed.class, name = "claimed"),
    @JsonSubTypes.Type(value = KeyState.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = KeyState.Ran.class, name = "ran"),
    @JsonSubTypes.Type(value = KeyState.Unknown.class, name = "unknown")
})
public sealed interface KeyState {
    /**
     * The claimant may have sent the request, or may still send it.
     *
     * @param untilMillis wall clock by when the claimant's request has its final answer; if nothing is recorded by
     *     then, the claimant died and nobody can tell whether the request ran
     */
    record Claimed(long untilMillis) implements KeyState {}

    /** The request ran and this is its answer. */
    record Answered(StoredResponse answer) implements KeyState {}

    /**
     * The request ran, but its answer was too large to keep or was cut short.
     *
     * @param status the answer's HTTP status code
     */
    record Ran(int status) implements KeyState {}

    /** The claimant cannot tell whether the request ran. */
    record Unknown() implements KeyState {}
}

package org.berylwick.internal.idempotency;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** The recorded state of the request that claimed a key, the only one that may run under it. */
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
     * @param untilMillis the wall-clock time by which the claimant's request has its final response, in milliseconds
     *     since the epoch; if no outcome is recorded by then, it is unknown whether the request ran, as the claimant is
     *     assumed to have crashed
     */
    record Claimed(long untilMillis) implements KeyState {}

    /** The request ran, and its complete response is stored. */
    record Answered(StoredResponse answer) implements KeyState {}

    /**
     * The request ran, but its response is not stored because it was too large or was truncated.
     *
     * @param status the HTTP status code of the response
     */
    record Ran(int status) implements KeyState {}

    /** The claimant does not know whether the request ran. */
    record Unknown() implements KeyState {}
}

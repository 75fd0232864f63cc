package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.stream.FilteredStreamMessage;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.util.OptionalLong;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.reactivestreams.Subscriber;

/**
 * A body that may only end cleanly with as many bytes as its head announced.
 *
 * <p>A short body that ended cleanly would look whole to a caller that reads to the end of the stream; here it ends
 * with an error, which the caller sees as a reset.
 */
final class AnswerGuard extends FilteredStreamMessage<HttpData, HttpData> {
    private final String requestId;
    private final OptionalLong expected;
    private final Invariants invariants;
    private long passed;

    /**
     * Guards a body.
     *
     * @param expected its length in bytes, if its head announced one
     */
    AnswerGuard(String requestId, StreamMessage<HttpData> body, OptionalLong expected, Invariants invariants) {
        super(body, true);
        this.requestId = requestId;
        this.expected = expected;
        this.invariants = invariants;
    }

    /** Bytes that went by. */
    long passed() {
        return passed;
    }

    @Override
    protected HttpData filter(HttpData data) {
        passed += data.length();
        return data;
    }

    @Override
    protected void beforeComplete(Subscriber<? super HttpData> subscriber) {
        boolean whole = expected.isEmpty() || expected.getAsLong() == passed;
        invariants.check(
                Invariant.OWN_WHOLE_ANSWER,
                whole,
                () -> "answer to " + requestId + " has " + passed + " bytes, announced " + expected);
        if (!whole) {
            throw new IllegalStateException("the answer has " + passed + " bytes, announced " + expected);
        }
    }
}

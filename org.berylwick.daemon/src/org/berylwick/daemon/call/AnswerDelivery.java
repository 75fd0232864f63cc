package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.stream.CancelledSubscriptionException;
import java.util.OptionalLong;
import org.berylwick.internal.event.CallEvent;
import org.berylwick.internal.event.EventLog;
import org.berylwick.lib.Member;

/** Passes an answer on to the caller, whole or visibly cut. */
final class AnswerDelivery {
    private static final EventLog EVENTS = new EventLog(AnswerDelivery.class);

    private final Forwarder forwarder;
    private final Call call;

    AnswerDelivery(Forwarder forwarder, Call call) {
        this.forwarder = forwarder;
        this.call = call;
    }

    /**
     * The response to the caller.
     *
     * @param from the member that answers
     */
    HttpResponse deliver(StreamedResponse answer, Member from) {
        ResponseHeadersBuilder builder = answer.headers().toBuilder();
        builder.set(CallHeaders.REQUEST_ID, call.requestId());
        ResponseHeaders headers = builder.build();
        StreamedResponse whole = ResumableAnswer.of(forwarder, call, answer, from);
        OptionalLong length = LengthCheck.length(call.headers().method(), headers);
        ResponseLengthGuard body = new ResponseLengthGuard(call.requestId(), whole.body(), length, forwarder.invariants(), this::recordFailure);
        return whole.withHeaders(headers).withBody(body).toHttpResponse();
    }

    private void recordFailure(long passed, Throwable failure) {
        if (failure instanceof CancelledSubscriptionException || call.isCallerDisconnected()) {
            forwarder.metrics().countCancelled();
            return;
        }
        forwarder.metrics().countTruncated();
        EVENTS.log(
                CallEvent.ANSWER_CUT,
                call.requestId(),
                passed,
                failure.getClass().getSimpleName());
    }
}

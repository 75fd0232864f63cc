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
    HttpResponse deliver(Answer answer, Member from) {
        ResponseHeadersBuilder builder = answer.headers().toBuilder();
        builder.set(CallHeaders.REQUEST_ID, call.requestId());
        ResponseHeaders headers = builder.build();
        Answer whole = ResumableAnswer.of(forwarder, call, answer, from);
        OptionalLong length = ContentLengthCheck.expectedLength(call.headers().method(), headers);
        AnswerGuard body = new AnswerGuard(call.requestId(), whole.body(), length, forwarder.invariants(), this::ended);
        return whole.withHeaders(headers).withBody(body).toResponse();
    }

    private void ended(long passed, Throwable failure) {
        if (failure instanceof CancelledSubscriptionException || call.isCallerGone()) {
            forwarder.metrics().countCancelled();
            return;
        }
        forwarder.metrics().countCut();
        EVENTS.log(
                CallEvent.ANSWER_CUT,
                call.requestId(),
                passed,
                failure.getClass().getSimpleName());
    }
}

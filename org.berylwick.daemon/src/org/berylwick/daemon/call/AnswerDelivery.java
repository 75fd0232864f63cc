package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.stream.CancelledSubscriptionException;
import java.util.OptionalLong;
import org.berylwick.internal.event.CallEvent;
import org.berylwick.internal.event.EventLog;
import org.berylwick.lib.Member;

/** Delivers a response to the caller, which either receives all of it or an error that shows it was truncated. */
final class AnswerDelivery {
    private static final EventLog EVENTS = new EventLog(AnswerDelivery.class);

    private final Forwarder forwarder;
    private final Call call;

    AnswerDelivery(Forwarder forwarder, Call call) {
        this.forwarder = forwarder;
        this.call = call;
    }

    /**
     * Returns the response for the caller.
     *
     * @param member member that sends the response
     */
    HttpResponse deliver(StreamedResponse response, Member member) {
        ResponseHeadersBuilder builder = response.headers().toBuilder();
        builder.set(CallHeaders.REQUEST_ID, call.requestId());
        ResponseHeaders headers = builder.build();
        StreamedResponse resumable = ResumableAnswer.of(forwarder, call, response, member);
        OptionalLong contentLength =
                ContentLengthCheck.expectedLength(call.headers().method(), headers);
        ResponseLengthGuard body = new ResponseLengthGuard(
                call.requestId(), resumable.body(), contentLength, forwarder.invariants(), this::recordFailure);
        return resumable.withHeaders(headers).withBody(body).toHttpResponse();
    }

    private void recordFailure(long deliveredBytes, Throwable failure) {
        if (failure instanceof CancelledSubscriptionException || call.isCallerDisconnected()) {
            forwarder.metrics().countCancelled();
            return;
        }
        forwarder.metrics().countTruncated();
        EVENTS.log(
                CallEvent.ANSWER_CUT,
                call.requestId(),
                deliveredBytes,
                failure.getClass().getSimpleName());
    }
}

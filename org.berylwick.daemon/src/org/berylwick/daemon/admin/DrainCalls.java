package org.berylwick.daemon.admin;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import org.berylwick.daemon.duty.DrainResult;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.OperatorEvent;
import org.berylwick.proto.SetDrainReply;
import org.berylwick.proto.SetDrainRequest;

/** Operators' calls that take the own backend server out of service and back in; for the admin duty's thread. */
final class DrainCalls {
    private static final EventLog EVENTS = new EventLog(DrainCalls.class);

    private final AdminContext context;
    private final AttemptLog attempts;

    DrainCalls(AdminContext context, AttemptLog attempts) {
        this.context = context;
        this.attempts = attempts;
    }

    SetDrainReply set(SetDrainRequest request) {
        String asked = request.getInstance();
        if (!asked.isEmpty() && !asked.equals(context.instance())) {
            throw refused(
                    request, Status.FAILED_PRECONDITION, "this daemon is " + context.instance() + ", not " + asked);
        }
        DrainResult result =
                request.getDrain() ? context.drains().drain() : context.drains().undrain();
        return switch (result) {
            case DrainResult.Done() -> done(request);
            case DrainResult.Stopping() -> throw refused(request, Status.FAILED_PRECONDITION, "the daemon is stopping");
            case DrainResult.NotRecorded(var error) ->
                throw refused(
                        request,
                        Status.UNAVAILABLE,
                        "now " + context.self().state() + ", but the store did not confirm the record: " + error
                                + "; a crash of the daemon may undo it; repeat the call");
        };
    }

    private SetDrainReply done(SetDrainRequest request) {
        EVENTS.log(
                OperatorEvent.DRAIN,
                action(request),
                request.getAuthor(),
                context.self().state());
        attempts.add(Attempt.of(context.time(), action(request), request.getAuthor(), "done", context.instance()));
        return SetDrainReply.newBuilder()
                .setState(context.self().state().name())
                .setInstance(context.instance())
                .build();
    }

    private StatusRuntimeException refused(SetDrainRequest request, Status status, String detail) {
        attempts.add(Attempt.of(context.time(), action(request), request.getAuthor(), "refused", detail));
        return status.withDescription(detail).asRuntimeException();
    }

    private static String action(SetDrainRequest request) {
        return request.getDrain() ? "drain" : "undrain";
    }
}

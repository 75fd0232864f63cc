package org.berylwick.daemon.admin;

import java.util.UUID;
import org.berylwick.api.ApplyCommand;
import org.berylwick.api.ApplyResult;
import org.berylwick.api.RollbackCommand;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.OperatorEvent;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.ApplyReply;
import org.berylwick.proto.ApplyRequest;
import org.berylwick.proto.RollbackRequest;

/** Operators' calls that have a version accepted; for the admin duty's thread. */
final class ChangeCalls {
    private static final EventLog EVENTS = new EventLog(ChangeCalls.class);
    private static final long APPLY_MILLIS = 10_000;

    private final AdminContext context;
    private final AttemptLog attempts;

    ChangeCalls(AdminContext context, AttemptLog attempts) {
        this.context = context;
        this.attempts = attempts;
    }

    ApplyReply apply(ApplyRequest request) {
        String operationId = operationId(request.getOperationId());
        TimeSource time = context.time();
        ApplyCommand command = new ApplyCommand(context.repository(), time)
                .setKnownParts(context.installed().inForce().parts())
                .setOperationId(operationId)
                .setAuthor(request.getAuthor())
                .setSummary(request.getSummary())
                .setBaseVersion(request.getBaseVersion())
                .setDryRun(request.getDryRun())
                .setInForce(context.installed().snapshot().id())
                .setDeadline(Deadline.afterMillis(time, APPLY_MILLIS));
        request.getDocumentsList().forEach(d -> command.addDocument(d.getName(), d.getText()));
        ApplyResult result = command.call();
        String word = AdminMessages.word(result);
        EVENTS.log(OperatorEvent.APPLY, request.getAuthor(), operationId, word);
        note("apply", request.getAuthor(), operationId, request.getSummary(), result);
        return AdminMessages.reply(result, operationId);
    }

    ApplyReply rollback(RollbackRequest request) {
        String operationId = operationId(request.getOperationId());
        TimeSource time = context.time();
        ApplyResult result = new RollbackCommand(context.repository(), time)
                .setToVersion(request.getToVersion())
                .setKnownParts(context.installed().inForce().parts())
                .setOperationId(operationId)
                .setAuthor(request.getAuthor())
                .setSummary(request.getSummary())
                .setDryRun(request.getDryRun())
                .setInForce(context.installed().snapshot().id())
                .setDeadline(Deadline.afterMillis(time, APPLY_MILLIS))
                .call();
        EVENTS.log(OperatorEvent.ROLLBACK, request.getAuthor(), operationId, AdminMessages.word(result));
        note("rollback", request.getAuthor(), operationId, request.getSummary(), result);
        return AdminMessages.reply(result, operationId);
    }

    private static String operationId(String given) {
        return given.isEmpty() ? UUID.randomUUID().toString() : given;
    }

    private void note(String action, String author, String operationId, String summary, ApplyResult result) {
        switch (result) {
            case ApplyResult.Accepted ignored -> {
                // It is in the history of every daemon.
            }
            case ApplyResult.Unchanged ignored -> {
                // Nothing became different.
            }
            case ApplyResult.DryRun ignored -> {
                // It attempted nothing.
            }
            default ->
                attempts.add(new Attempt(
                        context.time().epochMillis(),
                        author,
                        action,
                        AdminMessages.word(result),
                        operationId,
                        summary,
                        AdminMessages.detail(result)));
        }
    }
}

package org.berylwick.daemon.admin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.berylwick.api.HistoryCommand;
import org.berylwick.api.HistoryResult;
import org.berylwick.api.HistoryResult.AcceptedVersion;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.ObjectRef;
import org.berylwick.proto.AuditRecord;
import org.berylwick.proto.ListAuditReply;
import org.berylwick.proto.ListAuditRequest;

/**
 * The audit trail: accepted changes from the versions' own entries, and this daemon's other attempts from memory.
 *
 * <p>For the admin duty's thread. If the store does not answer, the attempts are listed all the same and the reply says
 * what is missing.
 */
final class AuditCalls {
    private static final long READ_MILLIS = 10_000;
    private static final int DEFAULT_LIMIT = 50;
    private static final String ACCEPTED = "accepted";

    private final AdminContext context;
    private final AttemptLog attempts;

    AuditCalls(AdminContext context, AttemptLog attempts) {
        this.context = context;
        this.attempts = attempts;
    }

    ListAuditReply list(ListAuditRequest request) {
        int limit = request.getLimit() > 0 ? request.getLimit() : DEFAULT_LIMIT;
        ListAuditReply.Builder reply = ListAuditReply.newBuilder()
                .setInstance(context.instance())
                .setAttemptsSinceEpochMs(attempts.completeSinceEpochMillis());
        List<AuditRecord> records = new ArrayList<>();
        if (request.getResult().isEmpty() || request.getResult().equals(ACCEPTED)) {
            switch (history(request, limit)) {
                case HistoryResult.Found(List<AcceptedVersion> versions, var ignored) ->
                    versions.stream().map(AuditCalls::accepted).forEach(records::add);
                case HistoryResult.Unavailable(String detail, long ignored) -> reply.setHistoryMissing(detail);
            }
        }
        attempts.newestFirst().stream().map(AuditCalls::attempted).forEach(records::add);
        records.stream()
                .filter(r -> matches(r, request))
                .sorted(Comparator.comparingLong(AuditRecord::getAtEpochMs).reversed())
                .limit(limit)
                .forEach(reply::addRecords);
        return reply.build();
    }

    private HistoryResult history(ListAuditRequest request, int limit) {
        HistoryCommand command = new HistoryCommand(context.repository())
                .setLimit(limit)
                .setDeadline(Deadline.afterMillis(context.time(), READ_MILLIS));
        if (!request.getAuthor().isEmpty()) {
            command.setAuthor(request.getAuthor());
        }
        if (!request.getObject().isEmpty()) {
            command.setObject(ObjectRef.fromString(request.getObject()));
        }
        return command.call();
    }

    private static AuditRecord accepted(AcceptedVersion version) {
        AuditRecord.Builder audit = AuditRecord.newBuilder()
                .setAtEpochMs(version.audit().acceptedAtEpochMillis())
                .setAuthor(version.audit().author())
                .setResult(ACCEPTED)
                .setOperationId(version.audit().operationId())
                .setVersion(version.id().number())
                .setSummary(version.audit().summary());
        version.audit().changes().forEach(c -> audit.addChanges(AdminMessages.change(c)));
        return audit.build();
    }

    private static AuditRecord attempted(Attempt attempt) {
        return AuditRecord.newBuilder()
                .setAtEpochMs(attempt.atEpochMillis())
                .setAuthor(attempt.author())
                .setAction(attempt.action())
                .setResult(attempt.result())
                .setOperationId(attempt.operationId())
                .setSummary(attempt.summary())
                .setDetail(attempt.detail())
                .build();
    }

    private static boolean matches(AuditRecord audit, ListAuditRequest request) {
        return (request.getAuthor().isEmpty() || request.getAuthor().equals(audit.getAuthor()))
                && (request.getResult().isEmpty() || request.getResult().equals(audit.getResult()))
                && (request.getObject().isEmpty()
                        || audit.getChangesList().stream()
                                .anyMatch(c -> c.getObject().equals(request.getObject())))
                && audit.getAtEpochMs() >= request.getSinceEpochMs();
    }
}

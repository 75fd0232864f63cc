package org.berylwick.daemon.admin;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.nio.charset.StandardCharsets;
import org.berylwick.api.DiffCommand;
import org.berylwick.api.DiffResult;
import org.berylwick.api.HistoryCommand;
import org.berylwick.api.HistoryResult;
import org.berylwick.api.ReadVersionCommand;
import org.berylwick.api.ReadVersionResult;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Snapshot;
import org.berylwick.proto.DiffReply;
import org.berylwick.proto.DiffRequest;
import org.berylwick.proto.GetConfigurationReply;
import org.berylwick.proto.ListHistoryReply;
import org.berylwick.proto.ListHistoryRequest;

/** Operators' calls that read accepted versions from the store; for the admin duty's thread. */
final class VersionCalls {
    private static final long READ_MILLIS = 10_000;

    private final AdminContext context;

    VersionCalls(AdminContext context) {
        this.context = context;
    }

    static GetConfigurationReply configuration(Snapshot snapshot) {
        byte[] json = ConfigurationCodec.encode(snapshot.configuration());
        return GetConfigurationReply.newBuilder()
                .setVersion(snapshot.id().number())
                .setDigest(snapshot.id().digest().hex())
                .setJson(new String(json, StandardCharsets.UTF_8))
                .build();
    }

    GetConfigurationReply configuration(long version) {
        ReadVersionResult result = new ReadVersionCommand(context.repository())
                .setVersion(version)
                .setKnownParts(context.installed().inForce().parts())
                .setDeadline(deadline())
                .call();
        return switch (result) {
            case ReadVersionResult.Found(Snapshot snapshot) -> configuration(snapshot);
            case ReadVersionResult.NoSuchVersion(long asked, long newest) -> throw absent(asked, newest);
            case ReadVersionResult.Unavailable(String detail, long ignored) -> throw unavailable(detail);
        };
    }

    DiffReply diff(DiffRequest request) {
        DiffResult result = new DiffCommand(context.repository())
                .setOlder(request.getFromVersion())
                .setNewer(request.getToVersion())
                .setKnownParts(context.installed().inForce().parts())
                .setDeadline(deadline())
                .call();
        return switch (result) {
            case DiffResult.Difference(var older, var newer, var changes) -> {
                DiffReply.Builder reply =
                        DiffReply.newBuilder().setFromVersion(older.number()).setToVersion(newer.number());
                changes.forEach(c -> reply.addChanges(AdminMessages.change(c)));
                yield reply.build();
            }
            case DiffResult.NoSuchVersion(long asked, long newest) -> throw absent(asked, newest);
            case DiffResult.Unavailable(String detail, long ignored) -> throw unavailable(detail);
        };
    }

    ListHistoryReply history(ListHistoryRequest request) {
        HistoryCommand command = new HistoryCommand(context.repository()).setDeadline(deadline());
        if (request.getLimit() > 0) {
            command.setLimit(request.getLimit());
        }
        return switch (command.call()) {
            case HistoryResult.Found(var versions, var ignored) -> {
                ListHistoryReply.Builder reply = ListHistoryReply.newBuilder();
                versions.forEach(v -> reply.addEntries(AdminMessages.history(v)));
                yield reply.build();
            }
            case HistoryResult.Unavailable(String detail, long ignored) -> throw unavailable(detail);
        };
    }

    private Deadline deadline() {
        return Deadline.afterMillis(context.time(), READ_MILLIS);
    }

    private static StatusRuntimeException absent(long asked, long newest) {
        return Status.NOT_FOUND
                .withDescription("there is no version " + asked + "; the newest is " + newest)
                .asRuntimeException();
    }

    private static StatusRuntimeException unavailable(String detail) {
        return Status.UNAVAILABLE.withDescription(detail).asRuntimeException();
    }
}

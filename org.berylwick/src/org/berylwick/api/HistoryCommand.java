package org.berylwick.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.berylwick.api.HistoryResult.AcceptedVersion;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.version.VersionChain;
import org.berylwick.internal.version.VersionChain.Link;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.ObjectRef;
import org.berylwick.lib.Result;

/**
 * Lists accepted versions, newest first, with who had each accepted and what it changed.
 *
 * <p>Reads one manifest for each version that it looks at, so filters that match little cost up to {@link #MAX_SCANNED}
 * reads of the store.
 */
public final class HistoryCommand {
    /** Versions looked at before the command answers with what it has. */
    public static final int MAX_SCANNED = 1_000;

    /** Entries answered if no limit is set. */
    public static final int DEFAULT_LIMIT = 20;

    private final VersionRepository repository;
    private int limit = DEFAULT_LIMIT;
    private long before = Long.MAX_VALUE;
    private Optional<String> author = Optional.empty();
    private Optional<String> operationId = Optional.empty();
    private Optional<ObjectRef> object = Optional.empty();
    private Deadline deadline;

    /** A command on {@code repository}; must be given a deadline before {@link #call()}. */
    public HistoryCommand(VersionRepository repository) {
        this.repository = repository;
    }

    /**
     * At most so many entries.
     *
     * @throws IllegalArgumentException if {@code entries} is not positive
     */
    public HistoryCommand setLimit(int entries) {
        if (entries <= 0) {
            throw new IllegalArgumentException("limit must be positive, is " + entries);
        }
        limit = entries;
        return this;
    }

    /** Only versions with a lower number, to go on where an earlier list ended. */
    public HistoryCommand setBefore(long number) {
        before = number;
        return this;
    }

    /** Only versions that this author had accepted. */
    public HistoryCommand setAuthor(String name) {
        author = Optional.of(name);
        return this;
    }

    /** Only the version that this operation had accepted. */
    public HistoryCommand setOperationId(String id) {
        operationId = Optional.of(id);
        return this;
    }

    /** Only versions that changed this object. */
    public HistoryCommand setObject(ObjectRef ref) {
        object = Optional.of(ref);
        return this;
    }

    /** By when the command must be done. */
    public HistoryCommand setDeadline(Deadline by) {
        deadline = by;
        return this;
    }

    /** Runs the command. */
    public HistoryResult call() {
        return switch (repository.readHead(deadline).flatMap(head -> list(new VersionChain(repository, head)))) {
            case Result.Ok<HistoryResult, VersionError>(HistoryResult result) -> result;
            case Result.Err<HistoryResult, VersionError>(VersionError error) ->
                new HistoryResult.Unavailable(ReadErrors.detail(error), ReadErrors.retryAfterMillis(error));
        };
    }

    private Result<HistoryResult, VersionError> list(VersionChain chain) {
        List<AcceptedVersion> found = new ArrayList<>();
        for (int scanned = 0; scanned < MAX_SCANNED; scanned++) {
            switch (chain.next(deadline)) {
                case Result.Err<Optional<Link>, VersionError>(VersionError error) -> {
                    return Result.err(error);
                }
                case Result.Ok<Optional<Link>, VersionError>(Optional<Link> link) -> {
                    if (link.isEmpty()) {
                        return Result.ok(new HistoryResult.Found(found, Optional.empty()));
                    }
                    AuditEntry audit = link.get().manifest().audit();
                    if (link.get().id().number() < before && matches(audit)) {
                        found.add(new AcceptedVersion(link.get().id(), audit));
                    }
                    if (found.size() == limit) {
                        return Result.ok(new HistoryResult.Found(found, chain.position()));
                    }
                }
            }
        }
        return Result.ok(new HistoryResult.Found(found, chain.position()));
    }

    private boolean matches(AuditEntry audit) {
        return author.map(audit.author()::equals).orElse(true)
                && operationId.map(audit.operationId()::equals).orElse(true)
                && object.map(o -> audit.changes().stream()
                                .anyMatch(c -> c.object().equals(o)))
                        .orElse(true);
    }
}

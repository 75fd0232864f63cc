package org.berylwick.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.UUID;
import org.berylwick.internal.config.DeclarationReader.Document;
import org.berylwick.internal.config.ProposedChange;
import org.berylwick.internal.version.VersionReader;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;

/**
 * Merges documents on a version and has the result accepted.
 *
 * <p>The whole result is validated before anything is written. A change written against an older base is merged if
 * nobody changed the same objects since; otherwise it is a conflict that names them.
 */
public final class ApplyCommand {
    private final VersionRepository repository;
    private final TimeSource time;
    private final List<Document> documents = new ArrayList<>();
    private final Map<Digest, byte[]> known = new HashMap<>();
    private String operationId = UUID.randomUUID().toString();
    private String author = "";
    private String summary = "";
    private long baseVersion;
    private boolean dryRun;
    private VersionId inForce = VersionId.NONE;
    private Deadline deadline;

    /** A command on {@code repository}; must be given a deadline before {@link #call()}. */
    public ApplyCommand(VersionRepository repository, TimeSource time) {
        this.repository = repository;
        this.time = time;
    }

    /** Adds a TOML document. */
    public ApplyCommand addDocument(String name, String text) {
        documents.add(new Document(name, text));
        return this;
    }

    /** Parts that need not be read from the store again, by digest. */
    public ApplyCommand setKnownParts(Map<Digest, byte[]> parts) {
        known.putAll(parts);
        return this;
    }

    /** Names the action; a repeat with the same id is accepted once. A random id is used if none is set. */
    public ApplyCommand setOperationId(String id) {
        operationId = Objects.requireNonNull(id);
        return this;
    }

    /** Who asks, for the audit trail. */
    public ApplyCommand setAuthor(String name) {
        author = name;
        return this;
    }

    /** One line for the audit trail. */
    public ApplyCommand setSummary(String line) {
        summary = line;
        return this;
    }

    /** The version that the change was written against; 0 for whichever is accepted now. */
    public ApplyCommand setBaseVersion(long number) {
        baseVersion = number;
        return this;
    }

    /** Only tells what would change. */
    public ApplyCommand setDryRun(boolean only) {
        dryRun = only;
        return this;
    }

    /** By when the command must be done. */
    public ApplyCommand setDeadline(Deadline by) {
        deadline = by;
        return this;
    }

    /** The version in force where the command runs; a store that shows an older one is not written to. */
    public ApplyCommand setInForce(VersionId id) {
        inForce = id;
        return this;
    }

    /** Runs the command. */
    public ApplyResult call() {
        ProposedChange change = ProposedChange.read(documents);
        VersionReader reader = new VersionReader(repository, known, deadline);
        ChangeAcceptance.Request request =
                new ChangeAcceptance.Request(change, operationId, author, summary, baseVersion, dryRun, inForce);
        ApplyResult result = new ChangeAcceptance(repository, reader, time, deadline).accept(request);
        boolean faulty = !change.ownFaults().isEmpty();
        return faulty && result instanceof ApplyResult.Unavailable
                ? new ApplyResult.Rejected(change.ownFaults())
                : result;
    }
}

package org.berylwick.api;

import java.util.ArrayList;
import java.util.List;
import org.berylwick.errors.Fault;
import org.berylwick.internal.config.ConfigurationDiff;
import org.berylwick.internal.config.DeclarationReader.Document;
import org.berylwick.internal.config.ProposedChange;
import org.berylwick.internal.version.ContentLimits;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.ObjectChange;
import org.berylwick.lib.Result;
import org.berylwick.lib.VersionId;

/** Checks documents as an apply would, without a store: on their own, or merged on a given configuration. */
public final class ValidateCommand {
    private final List<Document> documents = new ArrayList<>();
    private Configuration base = Configuration.EMPTY;

    /** Adds a TOML document. */
    public ValidateCommand addDocument(String name, String text) {
        documents.add(new Document(name, text));
        return this;
    }

    /** What the documents are merged on; nothing if none is set. */
    public ValidateCommand setBase(Configuration configuration) {
        base = configuration;
        return this;
    }

    /** Runs the command; calls nothing outside this process. */
    public ValidateResult call() {
        ProposedChange change = ProposedChange.read(documents);
        return switch (change.mergeOn(base)) {
            case Result.Ok<Configuration, List<Fault>>(Configuration merged) -> checkSize(change, merged);
            case Result.Err<Configuration, List<Fault>>(List<Fault> faults) -> new ValidateResult.Invalid(faults);
        };
    }

    private ValidateResult checkSize(ProposedChange change, Configuration merged) {
        List<ObjectChange> changes = ConfigurationDiff.between(base, merged);
        List<ObjectChange> abridged =
                changes.stream().map(ObjectChange::abridged).toList();
        AuditEntry audit = new AuditEntry("", "", "", 0, abridged);
        List<Fault> oversized =
                ContentLimits.check(VersionContent.encode(VersionId.NONE, audit, merged), change.places());
        return oversized.isEmpty() ? new ValidateResult.Valid(changes) : new ValidateResult.Invalid(oversized);
    }
}

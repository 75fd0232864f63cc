package org.berylwick.internal.config;

import java.util.List;
import java.util.Map;
import org.berylwick.errors.Fault;
import org.berylwick.internal.config.DeclarationReader.Declarations;
import org.berylwick.internal.config.DeclarationReader.DeclaredAt;
import org.berylwick.internal.config.DeclarationReader.Document;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.ObjectRef;
import org.berylwick.lib.Result;

/** A change that someone wants accepted, before it is known on which version. */
public sealed interface ProposedChange {
    /**
     * Documents to merge.
     *
     * @param declarations what they say
     */
    record Merge(Declarations declarations) implements ProposedChange {}

    /**
     * Everything as it was in an older version.
     *
     * @param configuration of that version
     */
    record Restore(Configuration configuration) implements ProposedChange {}

    /** Where objects that the change names were declared. */
    default Map<ObjectRef, DeclaredAt> places() {
        return switch (this) {
            case Merge(Declarations declarations) -> declarations.places();
            case Restore ignored -> Map.of();
        };
    }

    /** Reads documents into a change, or tells every fault in them. */
    static Result<ProposedChange, List<Fault>> read(List<Document> documents) {
        return DeclarationReader.read(documents).map(Merge::new);
    }

    /** The whole configuration that this change makes of {@code base}, or every rule that it would break. */
    default Result<Configuration, List<Fault>> mergeOn(Configuration base) {
        Configuration merged = switch (this) {
            case Merge(Declarations declarations) -> declarations.changes().applyTo(base);
            case Restore(Configuration configuration) -> configuration;
        };
        List<Fault> faults = ConfigurationValidator.validate(merged, places());
        return faults.isEmpty() ? Result.ok(merged) : Result.err(faults);
    }
}

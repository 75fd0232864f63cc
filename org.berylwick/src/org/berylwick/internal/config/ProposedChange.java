package org.berylwick.internal.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

    /** Reads documents into a change, whose faults are told by {@link #mergeOn}. */
    static ProposedChange read(List<Document> documents) {
        return new Merge(DeclarationReader.read(documents));
    }

    /** The objects that the change removes by name. */
    default Set<ObjectRef> removals() {
        return switch (this) {
            case Merge(Declarations declarations) ->
                Set.copyOf(declarations.changes().removals());
            case Restore ignored -> Set.of();
        };
    }

    /** What is wrong with the change itself, whatever it is merged on. */
    default List<Fault> ownFaults() {
        return switch (this) {
            case Merge(Declarations declarations) -> declarations.faults();
            case Restore ignored -> List.of();
        };
    }

    /** The whole configuration that this change makes of {@code base}, or every rule that it would break. */
    default Result<Configuration, List<Fault>> mergeOn(Configuration base) {
        return switch (this) {
            case Merge(Declarations declarations) -> merge(declarations, base);
            case Restore(Configuration configuration) ->
                orFaults(configuration, ConfigurationValidator.validate(configuration, Map.of()));
        };
    }

    private static Result<Configuration, List<Fault>> merge(Declarations declarations, Configuration base) {
        Configuration merged = declarations.changes().applyTo(base);
        List<Fault> faults = new ArrayList<>(declarations.faults());
        if (!declarations.readable()) {
            return Result.err(faults);
        }
        faults.addAll(absentRemovals(declarations, base));
        // A field that could not be read was replaced by a default, so that what depends on its value would be
        // reported for a value that nobody wrote; names and references are as written.
        faults.addAll(
                declarations.faults().isEmpty()
                        ? ConfigurationValidator.validate(merged, declarations.places())
                        : ConfigurationValidator.validateNames(merged, declarations.places()));
        return orFaults(merged, faults);
    }

    private static Result<Configuration, List<Fault>> orFaults(Configuration merged, List<Fault> faults) {
        return faults.isEmpty() ? Result.ok(merged) : Result.err(List.copyOf(faults));
    }

    private static List<Fault> absentRemovals(Declarations declarations, Configuration base) {
        List<Fault> faults = new ArrayList<>();
        for (ObjectRef ref : declarations.changes().removals()) {
            if (!base.has(ref)) {
                DeclaredAt at = declarations.places().getOrDefault(ref, new DeclaredAt("(change)", 0));
                String rule = "there is no " + ref.kind().word() + " '" + ref.name() + "' to remove";
                faults.add(new Fault(at.document(), at.line(), "remove[" + ref.name() + "].name", rule));
            }
        }
        return faults;
    }
}

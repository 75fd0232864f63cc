package org.berylwick.api;

import java.util.List;
import org.berylwick.errors.Fault;
import org.berylwick.lib.ObjectChange;

/** What checking documents found. */
public sealed interface ValidateResult {
    /** An apply on the same base would be accepted. */
    record Valid(List<ObjectChange> changes) implements ValidateResult {}

    /** An apply would be refused for all of these. */
    record Invalid(List<Fault> faults) implements ValidateResult {}
}

package org.berylwick.daemon.duty;

import org.berylwick.errors.StoreError;

/** What became of an operator's call to take the backend server out of service, or back in. */
public sealed interface DrainResult {
    /** It is done, and outlasts a crash of the daemon. */
    record Done() implements DrainResult {}

    /** Nothing was done: the daemon itself is stopping. */
    record Stopping() implements DrainResult {}

    /** The store did not confirm the record. A drain is in force, but only until the daemon ends; an undrain is not. */
    record NotRecorded(StoreError error) implements DrainResult {}
}

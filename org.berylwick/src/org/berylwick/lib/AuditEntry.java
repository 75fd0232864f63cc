package org.berylwick.lib;

import java.util.List;

/**
 * Who had a version accepted, and what it changed; part of the version itself.
 *
 * @param operationId names the operator's action; a repeat with the same id is recognised
 * @param author as given by the operator
 * @param summary one line
 * @param acceptedAtEpochMillis clock of the daemon that wrote it
 * @param changes against the version before
 */
public record AuditEntry(
        String operationId, String author, String summary, long acceptedAtEpochMillis, List<ObjectChange> changes) {
    /** Copies the list. */
    public AuditEntry {
        changes = List.copyOf(changes);
    }
}

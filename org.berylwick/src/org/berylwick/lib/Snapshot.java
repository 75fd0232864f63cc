package org.berylwick.lib;

import java.util.List;
import org.berylwick.internal.routing.RoutingTable;

/**
 * One whole version as a daemon has it in force.
 *
 * @param id which version
 * @param configuration what was declared
 * @param audit who had it accepted
 * @param table compiled from the configuration, so that a request costs two look-ups
 */
public record Snapshot(VersionId id, Configuration configuration, AuditEntry audit, RoutingTable table) {
    /** Before the first version. */
    public static final Snapshot NONE = new Snapshot(
            VersionId.NONE,
            Configuration.EMPTY,
            new AuditEntry("", "", "", 0, List.of()),
            RoutingTable.compile(Configuration.EMPTY));
}

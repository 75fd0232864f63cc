package org.berylwick.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.member.NodeDirectory;

/** The entries of all nodes of a rig, which outlast the nodes; safe for use by their event loops. */
final class InMemoryDirectory {
    private final Map<String, Stored> entries = new HashMap<>();
    private long revision;
    private boolean unavailable;
    private final Set<String> refusedVms = new HashSet<>();

    private record Stored(NodeDirectory.Entry entry, long revision) {}

    /** Lets all writes fail from now on, or no more. */
    synchronized void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    /** Lets all calls of one node fail from now on, or no more. */
    synchronized void setRefused(String vmName, boolean isRefused) {
        if (isRefused) {
            refusedVms.add(vmName);
        } else {
            refusedVms.remove(vmName);
        }
    }

    private boolean fails(String callerVmName) {
        return unavailable || refusedVms.contains(callerVmName);
    }

    synchronized NodeDirectory.ReadResult read(String callerVmName, String vmName) {
        if (fails(callerVmName)) {
            return new NodeDirectory.ReadResult.Failed("unavailable");
        }
        Stored stored = entries.get(vmName);
        return stored == null
                ? new NodeDirectory.ReadResult.Missing()
                : new NodeDirectory.ReadResult.Found(stored.entry());
    }

    synchronized NodeDirectory.WriteResult create(NodeDirectory.Entry entry) {
        if (fails(entry.vmName())) {
            return new NodeDirectory.WriteResult.Failed("unavailable");
        }
        Stored stored = entries.get(entry.vmName());
        return stored == null
                ? write(entry)
                : new NodeDirectory.WriteResult.Conflict(stored.entry(), stored.revision());
    }

    synchronized NodeDirectory.WriteResult replace(NodeDirectory.Entry entry, long expectedRevision) {
        if (fails(entry.vmName())) {
            return new NodeDirectory.WriteResult.Failed("unavailable");
        }
        Stored stored = entries.get(entry.vmName());
        if (stored == null) {
            return new NodeDirectory.WriteResult.Missing();
        }
        return stored.revision() == expectedRevision
                ? write(entry)
                : new NodeDirectory.WriteResult.Conflict(stored.entry(), stored.revision());
    }

    private NodeDirectory.WriteResult write(NodeDirectory.Entry entry) {
        revision++;
        entries.put(entry.vmName(), new Stored(entry, revision));
        return new NodeDirectory.WriteResult.Written(revision);
    }

    synchronized List<SuspectReport.Crashed> crashes() {
        return entries.values().stream()
                .flatMap(stored -> stored.entry().crashes().stream())
                .toList();
    }
}

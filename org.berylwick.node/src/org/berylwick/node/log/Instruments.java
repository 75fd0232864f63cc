package org.berylwick.node.log;

import java.util.List;
import org.berylwick.node.lib.UnusableEntry;

/**
 * The metrics and the event log to which a component of the node reports.
 *
 * @param counters metrics of the node
 * @param log event log of the node
 */
public record Instruments(Counters counters, EventLog log) {
    /**
     * Reports entries of the store that were skipped.
     *
     * @param list what is listed
     * @param entries the entries
     */
    public void reportUnusable(String list, List<UnusableEntry> entries) {
        counters.add(NodeMetricNames.STORE_ENTRIES_UNUSABLE, entries.size());
        for (UnusableEntry entry : entries) {
            log.write(Event.STORE_ENTRY_UNUSABLE, "list", list, "name", entry.name(), "why", entry.reason());
        }
    }
}

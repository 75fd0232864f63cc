package org.berylwick.node.call;

import java.util.Optional;
import java.util.function.Supplier;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.transport.IncomingLink;

/**
 * What the connections of callers share; confined to the event loop.
 *
 * @param version the configuration in force
 * @param calls opens calls
 * @param link of this VM
 * @param counters takes counts
 * @param log takes events
 */
record EntryServices(
        Supplier<Optional<ConfigurationVersion>> version,
        EntryCalls calls,
        IncomingLink link,
        Counters counters,
        EventLog log) {}

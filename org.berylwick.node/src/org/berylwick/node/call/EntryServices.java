package org.berylwick.node.call;

import java.util.Optional;
import java.util.function.Supplier;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.transport.IncomingLink;

/**
 * What all connections of callers share; confined to the event loop.
 *
 * @param version configuration version in force, empty until the first one is installed
 * @param admission decides which requests are sent on
 * @param callFactory creates calls
 * @param incomingLink incoming link of this VM
 * @param counters metrics
 * @param log event log
 */
record EntryServices(
        Supplier<Optional<ConfigurationVersion>> version,
        RequestAdmission admission,
        EntryCallFactory callFactory,
        IncomingLink incomingLink,
        Counters counters,
        EventLog log) {}

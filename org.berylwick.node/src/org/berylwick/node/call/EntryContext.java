package org.berylwick.node.call;

import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;

/**
 * What every call at an entry shares; confined to the event loop.
 *
 * @param clock tells the time; all runs where its tasks do
 * @param names headers that callers know
 * @param callerService service on this VM
 * @param starter sends attempts to owners
 * @param candidates lists nodes
 * @param chooser chooses among them
 * @param budget for repeats
 * @param habits of answers
 * @param returns which callers come back
 * @param memory for gathered answers
 * @param counters takes counts
 * @param log takes events
 * @param chance uniform in [0, 1)
 */
record EntryContext(
        Clock clock,
        HeaderNames names,
        Supplier<String> callerService,
        AttemptStarter starter,
        CandidateSource candidates,
        CandidateChooser chooser,
        RetryBudget budget,
        ResponseEstimator habits,
        CallerRetryRate returns,
        GatherMemory memory,
        Counters counters,
        EventLog log,
        DoubleSupplier chance) {}

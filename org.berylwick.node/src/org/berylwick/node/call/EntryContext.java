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
 * @param headerNames headers that callers know
 * @param callerService service on this VM
 * @param starter sends attempts to owners
 * @param candidates lists nodes
 * @param chooser chooses among them
 * @param retryBudget for repeats
 * @param responseEstimates of answers
 * @param callerRetryRates which callers come back
 * @param responseBuffers for gathered answers
 * @param counters takes counts
 * @param log takes events
 * @param random uniform in [0, 1)
 */
record EntryContext(
        Clock clock,
        HeaderNames headerNames,
        Supplier<String> callerService,
        AttemptStarter starter,
        CandidateSource candidates,
        CandidateChooser chooser,
        RetryBudget retryBudget,
        AnswerHabits responseEstimates,
        CallerReturns callerRetryRates,
        ResponseBufferBudget responseBuffers,
        Counters counters,
        EventLog log,
        DoubleSupplier random) {}

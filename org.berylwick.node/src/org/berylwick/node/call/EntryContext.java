package org.berylwick.node.call;

import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.quarantine.Quarantine;

/**
 * What all calls of an entry share; confined to the event loop.
 *
 * @param clock clock whose tasks run on the same thread as everything here
 * @param headerNames names of the headers that callers use
 * @param callerService service on this VM, which the callers belong to
 * @param starter sends attempts to owners
 * @param candidates supplies the nodes that may run a request
 * @param chooser chooses one of these nodes
 * @param retryBudget limits retries
 * @param hedging decides on second attempts of slow requests, empty if there are none
 * @param responseEstimates expected sizes and durations of responses
 * @param callerRetryRates how often callers retry after a refusal
 * @param responseBufferBudget memory limit for buffered responses
 * @param quarantine requests that no backend server should run
 * @param shares shares of organisations in services that are short of capacity
 * @param counters metrics
 * @param log event log
 * @param random supplies random numbers, uniform in [0, 1)
 */
record EntryContext(
        Clock clock,
        HeaderNames headerNames,
        Supplier<String> callerService,
        AttemptStarter starter,
        CandidateSource candidates,
        CandidateChooser chooser,
        RetryBudget retryBudget,
        Optional<HedgePolicy> hedging,
        ResponseEstimator responseEstimates,
        CallerRetryRate callerRetryRates,
        ResponseBufferBudget responseBufferBudget,
        Quarantine quarantine,
        EntryShares shares,
        Counters counters,
        EventLog log,
        DoubleSupplier random) {}

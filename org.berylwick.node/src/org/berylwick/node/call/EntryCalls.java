package org.berylwick.node.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.Route;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.transport.RequestBody;

/**
 * Opens the calls of an entry's callers: reads how long a caller waits, and decides from when its objective counts;
 * confined to the event loop.
 */
public final class EntryCalls {
    /** What a caller that names no deadline is given. */
    private static final long DEFAULT_DEADLINE_NANOS = 10_000_000_000L;
    /** What the answer needs back to the caller. */
    private static final long RETURN_NANOS = 10_000_000L;

    private final EntryContext context;
    private final CallerWaitEstimator patience = new CallerWaitEstimator();
    private long endAt = Long.MAX_VALUE;

    /**
     * @param clock tells the time; all runs where its tasks do
     * @param names headers that callers know
     * @param callerService service on this VM
     * @param starter sends attempts to owners
     * @param candidates lists nodes
     * @param budget for repeats
     * @param gatherBytes that answers may hold while they are gathered
     * @param instruments take counts and events
     * @param chance uniform in [0, 1)
     */
    public EntryCalls(
            Clock clock,
            HeaderNames names,
            Supplier<String> callerService,
            AttemptStarter starter,
            CandidateSource candidates,
            RetryBudget budget,
            long gatherBytes,
            Instruments instruments,
            DoubleSupplier chance) {
        this.context = new EntryContext(
                clock,
                names,
                callerService,
                starter,
                candidates,
                new CandidateChooser(chance),
                budget,
                new ResponseEstimator(),
                new CallerRetryRate(),
                new GatherMemory(gatherBytes),
                instruments.counters(),
                instruments.log(),
                chance);
    }

    /** Bytes that answers hold while they are gathered. */
    public long gatheredBytes() {
        return context.memory().held();
    }

    /** The process ends: calls that are opened from now on have their deadline then at the latest. */
    void endBy(long at) {
        endAt = at;
    }

    /**
     * Opens a call, which is still to be started.
     *
     * @param version in force
     * @param route that it takes
     * @param request of the caller
     * @param sink takes the answer
     */
    public CallerCall open(ConfigurationVersion version, Route route, CallerRequest request, ReplySink sink) {
        long now = context.clock().now();
        HttpHeaders headers = Headers.endToEnd(request.headers());
        String id = headers.get(context.names().requestId(), "");
        long wait = waitOf(headers);
        long waited = patience.waitedNanos(route.name(), wait);
        long deadline = now + Math.max(1_000_000L, wait - RETURN_NANOS);
        headers.remove(context.names().deadline());
        headers.remove(context.names().targetInstance());
        headers.remove(context.names().callerService());
        if (route.timeoutNanos() > 0) {
            deadline = Math.min(deadline, now + route.timeoutNanos());
        }
        deadline = Math.min(deadline, endAt);
        long objective = route.objectiveNanos() > 0 ? now - waited + route.objectiveNanos() : deadline;
        CallSpec spec = new CallSpec(
                id,
                request.method(),
                request.uri(),
                headers,
                request.body(),
                route.serviceAt(context.chance().getAsDouble()),
                context.callerService().get(),
                RequestClass.of(route),
                objective,
                deadline,
                0,
                1,
                (int) context.habits().expectedBytes(route));
        return new EntryCall(context, route, spec, now, version.number(), waited > 0, sink);
    }

    private long waitOf(HttpHeaders headers) {
        String text = headers.get(context.names().deadline());
        if (text == null) {
            return DEFAULT_DEADLINE_NANOS;
        }
        try {
            return (long) (Double.parseDouble(text.trim()) * 1_000_000);
        } catch (NumberFormatException e) {
            return DEFAULT_DEADLINE_NANOS;
        }
    }

    /**
     * A caller's request.
     *
     * @param method as sent
     * @param uri path and query as sent
     * @param headers as sent
     * @param body whole or still coming; released when the call is over
     */
    public record CallerRequest(HttpMethod method, String uri, HttpHeaders headers, RequestBody body) {}
}

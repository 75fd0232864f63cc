package org.berylwick.node.call;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.MeshVersion;
import org.berylwick.node.lib.NodeSettings;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.transport.EventLoopClock;
import org.berylwick.node.transport.VmLink;

/** Puts the parts of the call path together. */
public final class CallPath {
    /** Part of the process's memory that gathered answers may hold. */
    private static final int BUFFER_MEMORY_DIVISOR = 6;

    /**
     * What an entry knows of those that call.
     *
     * @param headerNames headers that they know
     * @param version in force
     * @param callerService on this VM
     */
    public record Callers(
            HeaderNames headerNames, Supplier<Optional<MeshVersion>> version, Supplier<String> callerService) {}

    private CallPath() {}

    /**
     * Makes the entry.
     *
     * @param eventLoop all runs on it
     * @param settings of this node
     * @param callers what is known of them
     * @param owner of the backend server beside this node
     * @param link of this VM
     * @param candidates lists nodes
     * @param retryBudget for repeats
     * @param instruments take counts and events
     */
    public static EntryServer createEntryServer(
            EventLoop eventLoop,
            NodeSettings settings,
            Callers callers,
            Owner owner,
            VmLink link,
            Candidates candidates,
            RetryBudget retryBudget,
            Instruments instruments) {
        Counters counters = instruments.counters();
        AttemptStarter starter =
                (candidate, call, listener) -> candidate.member().isPresent()
                        ? PeerAttempt.start(candidate.member().get(), call, listener)
                        : owner.offer(call, listener);
        EntryCallFactory callFactory = new EntryCallFactory(
                new EventLoopClock(eventLoop),
                callers.headerNames(),
                callers.callerService(),
                starter,
                candidates,
                retryBudget,
                (long) settings.memoryMb() * (1 << 20) / BUFFER_MEMORY_DIVISOR,
                instruments,
                () -> ThreadLocalRandom.current().nextDouble());
        counters.gauge(NodeMetricNames.ENTRY_GATHERED_BYTES, callFactory::bufferedBytes);
        EntryServer server = new EntryServer(
                new EntryServices(callers.version(), callFactory, link.incoming(), counters, instruments.log()),
                eventLoop,
                settings.callers());
        counters.gauge(NodeMetricNames.ENTRY_CONNECTIONS, server::connectionCount);
        counters.gauge(NodeMetricNames.ENTRY_PENDING, server::pendingRequests);
        return server;
    }
}

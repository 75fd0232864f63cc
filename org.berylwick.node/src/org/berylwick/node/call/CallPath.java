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
    private static final int GATHER_SHARE = 6;

    /**
     * What an entry knows of those that call.
     *
     * @param names headers that they know
     * @param version in force
     * @param service on this VM
     */
    public record Callers(HeaderNames names, Supplier<Optional<MeshVersion>> version, Supplier<String> service) {}

    private CallPath() {}

    /**
     * Makes the entry.
     *
     * @param loop all runs on it
     * @param settings of this node
     * @param callers what is known of them
     * @param owner of the backend server beside this node
     * @param link of this VM
     * @param candidates lists nodes
     * @param budget for repeats
     * @param instruments take counts and events
     */
    public static EntryServer entry(
            EventLoop loop,
            NodeSettings settings,
            Callers callers,
            Owner owner,
            VmLink link,
            Candidates candidates,
            RetryBudget budget,
            Instruments instruments) {
        Counters counters = instruments.counters();
        AttemptStarter starter =
                (candidate, call, listener) -> candidate.member().isPresent()
                        ? PeerAttempt.start(candidate.member().get(), call, listener)
                        : owner.offer(call, listener);
        EntryCalls calls = new EntryCalls(
                new EventLoopClock(loop),
                callers.names(),
                callers.service(),
                starter,
                candidates,
                budget,
                (long) settings.memoryMb() * (1 << 20) / GATHER_SHARE,
                instruments,
                () -> ThreadLocalRandom.current().nextDouble());
        counters.registerGauge(NodeMetricNames.ENTRY_GATHERED_BYTES, calls::gatheredBytes);
        EntryServer entry = new EntryServer(
                new EntryServices(callers.version(), calls, link.incoming(), counters, instruments.log()),
                loop,
                settings.callers());
        counters.registerGauge(NodeMetricNames.ENTRY_CONNECTIONS, entry::size);
        counters.registerGauge(NodeMetricNames.ENTRY_PENDING, entry::pending);
        return entry;
    }
}

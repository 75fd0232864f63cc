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

/** Puts the parts of the call path together. */
public final class CallPath {
    /** Part of the process's memory that gathered answers may hold. */
    private static final int GATHER_SHARE = 6;

    private CallPath() {}

    /**
     * Makes the entry.
     *
     * @param loop all runs on it
     * @param settings of this node
     * @param names headers that callers know
     * @param version in force
     * @param callerService service on this VM
     * @param owner of the backend server beside this node
     * @param candidates lists nodes
     * @param instruments take counts and events
     */
    public static EntryServer entry(
            EventLoop loop,
            NodeSettings settings,
            HeaderNames names,
            Supplier<Optional<MeshVersion>> version,
            Supplier<String> callerService,
            Owner owner,
            Candidates candidates,
            Instruments instruments) {
        Counters counters = instruments.counters();
        GatherMemory memory = new GatherMemory((long) settings.memoryMb() * (1 << 20) / GATHER_SHARE);
        counters.gauge(NodeMetricNames.ENTRY_GATHERED_BYTES, memory::held);
        EntryContext context = new EntryContext(
                loop,
                names,
                version,
                callerService,
                owner,
                candidates,
                new CandidateChooser(() -> ThreadLocalRandom.current().nextDouble()),
                new RetryBudget(settings.bounds(), candidates::nodeCount, candidates::areListed, System.nanoTime()),
                new AnswerHabits(),
                new CallerPatience(),
                memory,
                counters,
                instruments.log(),
                () -> ThreadLocalRandom.current().nextDouble());
        EntryServer entry = new EntryServer(context, settings.callers());
        counters.gauge(NodeMetricNames.ENTRY_CONNECTIONS, entry::size);
        counters.gauge(NodeMetricNames.ENTRY_PENDING, entry::pending);
        return entry;
    }
}

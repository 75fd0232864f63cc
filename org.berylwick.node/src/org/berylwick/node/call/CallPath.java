package org.berylwick.node.call;

import io.netty.channel.SingleThreadEventLoop;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.NodeSettings;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.quota.RequestQuota;
import org.berylwick.node.transport.EventLoopClock;
import org.berylwick.node.transport.VmLink;
import org.berylwick.node.version.VersionFreshness;

/** Assembles the components that handle the requests of callers on a node. */
public final class CallPath {
    /** Buffered responses may use the memory of the process divided by this. */
    private static final int BUFFER_MEMORY_DIVISOR = 6;

    /**
     * What an entry needs to know about its callers.
     *
     * @param headerNames names of the headers that they use
     * @param version the configuration version in force, empty until the first one is installed
     * @param freshness what is known of newer versions on other nodes
     * @param callerService service on this VM, which the callers belong to
     * @param quota limits the requests of organisations
     */
    public record Callers(
            HeaderNames headerNames,
            Supplier<Optional<ConfigurationVersion>> version,
            VersionFreshness freshness,
            Supplier<String> callerService,
            RequestQuota quota) {}

    private CallPath() {}

    /**
     * Creates the server that accepts the requests of callers on this VM.
     *
     * @param eventLoop event loop that everything runs on
     * @param settings settings of this node
     * @param callers what is known about the callers
     * @param owner owner of the backend server beside this node
     * @param link network link of this VM
     * @param candidates supplies the nodes that may run a request
     * @param retryBudget limits retries
     * @param instruments counters and event log
     */
    public static EntryServer createEntryServer(
            SingleThreadEventLoop eventLoop,
            NodeSettings settings,
            Callers callers,
            Owner owner,
            VmLink link,
            CandidateSampler candidates,
            RetryBudget retryBudget,
            Instruments instruments) {
        Counters counters = instruments.counters();
        AttemptStarter starter =
                (candidate, call, listener) -> candidate.member().isPresent()
                        ? PeerAttempt.start(candidate.member().get(), call, link.outgoing(), listener)
                        : owner.offer(call, listener);
        EntryCallFactory callFactory = new EntryCallFactory(
                new EventLoopClock(eventLoop),
                callers.headerNames(),
                callers.callerService(),
                starter,
                candidates,
                retryBudget,
                HedgePolicy.of(settings.hedgeShare()),
                owner.quarantine(),
                (long) settings.memoryMb() * (1 << 20) / BUFFER_MEMORY_DIVISOR,
                instruments,
                () -> ThreadLocalRandom.current().nextDouble());
        counters.registerGauge(NodeMetricNames.ENTRY_GATHERED_BYTES, callFactory::bufferedBytes);
        EntryServer server = new EntryServer(
                new EntryServices(
                        callers.version(),
                        new RequestAdmission(
                                callers.version(),
                                callers.freshness(),
                                callers.quota(),
                                callers.headerNames(),
                                instruments),
                        callFactory,
                        link.incoming(),
                        counters,
                        instruments.log()),
                eventLoop,
                settings.callerAddress());
        counters.registerGauge(NodeMetricNames.ENTRY_CONNECTIONS, server::connectionCount);
        counters.registerGauge(NodeMetricNames.ENTRY_PENDING, server::pendingRequests);
        counters.registerGauge(NodeMetricNames.ENTRY_PIPELINED, server::pipelinedRequests);
        return server;
    }
}

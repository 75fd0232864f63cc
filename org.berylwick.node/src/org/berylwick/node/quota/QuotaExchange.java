package org.berylwick.node.quota;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.member.Gossip;

/** Sends and receives messages about limits in datagrams beside the gossip; confined to the event loop. */
public final class QuotaExchange implements Gossip.Extension {
    private static final int INITIAL_BUFFER_BYTES = 96;

    private final Gossip gossip;
    private final NodeQuota quota;

    private QuotaExchange(
            Clock clock,
            QuotaFleet fleet,
            Gossip gossip,
            Supplier<Optional<ConfigurationVersion>> version,
            Instruments instruments) {
        this.gossip = gossip;
        this.quota = new NodeQuota(
                clock,
                fleet,
                this::send,
                name -> version.get().flatMap(v -> v.organisation(name)),
                () -> ThreadLocalRandom.current().nextDouble(),
                instruments);
    }

    /**
     * Creates the limits of a node, and what exchanges its messages.
     *
     * @param clock time source; its tasks run on the event loop
     * @param fleet what is known of the other nodes
     * @param gossip sends and receives the datagrams
     * @param version configuration version in force
     * @param instruments counters and event log
     */
    public static NodeQuota createQuota(
            Clock clock,
            QuotaFleet fleet,
            Gossip gossip,
            Supplier<Optional<ConfigurationVersion>> version,
            Instruments instruments) {
        QuotaExchange exchange = new QuotaExchange(clock, fleet, gossip, version, instruments);
        gossip.addExtension(exchange);
        instruments.counters().registerGauge(NodeMetricNames.QUOTA_SERVED, exchange.quota::servedOrganisations);
        return exchange.quota;
    }

    private void send(String receiver, QuotaMessage message) {
        ByteBuf datagram = Unpooled.buffer(INITIAL_BUFFER_BYTES);
        QuotaCodec.encode(message, datagram);
        gossip.sendDatagram(datagram, Optional.of(receiver));
    }

    @Override
    public int magic() {
        return QuotaCodec.MAGIC;
    }

    @Override
    public void receive(String senderIp, ByteBuf datagram) {
        QuotaCodec.decode(datagram).ifPresent(message -> quota.receive(senderIp, message));
    }
}

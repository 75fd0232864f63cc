package org.berylwick.node.quarantine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.member.Gossip;

/**
 * Exchanges the reports of all nodes' quarantines by datagram; confined to the event loop.
 *
 * <p>A node sends what it finds to all others at once, and repeats crashes twice, since datagrams get lost. A node that
 * missed a report nevertheless, or that has started since, has another checksum than others; they send it everything.
 */
public final class QuarantineExchange implements Gossip.Extension, Gossip.StateChecksum {
    private static final long[] REPEAT_DELAYS_NANOS = {40_000_000L, 120_000_000L};
    /** Least time between two snapshots for the same node. */
    private static final long SNAPSHOT_INTERVAL_NANOS = 400_000_000L;

    /** Delay of trials for each node of the fleet, so that a crash is mostly known before the next node tries. */
    private static final long TRIAL_SPREAD_PER_NODE_NANOS = 400_000_000L;

    private static final int INITIAL_BUFFER_BYTES = 256;

    private final Clock clock;
    private final Quarantine quarantine;
    private final Gossip gossip;
    private final List<SuspectReport> unsent = new ArrayList<>();
    private final Map<String, Long> snapshotSentAt = new HashMap<>();

    /**
     * @param clock time source; its tasks run on the event loop
     * @param quarantine source and receiver of the reports
     * @param gossip sends and receives the datagrams
     */
    public QuarantineExchange(Clock clock, Quarantine quarantine, Gossip gossip) {
        this.clock = clock;
        this.quarantine = quarantine;
        this.gossip = gossip;
        quarantine.setReportListener(this::onReport);
        quarantine.setTrialSpread(
                () -> TRIAL_SPREAD_PER_NODE_NANOS * (gossip.peerAddressCount() + 1L),
                () -> ThreadLocalRandom.current().nextDouble());
        gossip.addExtension(this);
        gossip.setStateChecksum(this);
    }

    private void onReport(SuspectReport report) {
        unsent.add(report);
        if (unsent.size() == 1) {
            // Deferred, because a backend server that ends breaks several requests, which are reported together.
            clock.defer(this::sendReports);
        }
    }

    private void sendReports() {
        List<SuspectReport> reports = List.copyOf(unsent);
        unsent.clear();
        send(reports, Optional.empty());
        List<SuspectReport> crashes = reports.stream()
                .filter(report -> report instanceof SuspectReport.Crashed)
                .toList();
        for (long delayNanos : REPEAT_DELAYS_NANOS) {
            clock.schedule(clock.now() + delayNanos, () -> send(crashes, Optional.empty()));
        }
    }

    private void send(List<SuspectReport> reports, Optional<String> receiver) {
        for (int from = 0; from < reports.size(); from += SuspectReportCodec.MAX_REPORTS) {
            int to = Math.min(reports.size(), from + SuspectReportCodec.MAX_REPORTS);
            ByteBuf datagram = Unpooled.buffer(INITIAL_BUFFER_BYTES);
            SuspectReportCodec.encode(reports.subList(from, to), clock.now(), datagram);
            gossip.sendDatagram(datagram, receiver);
        }
    }

    @Override
    public int magic() {
        return SuspectReportCodec.MAGIC;
    }

    @Override
    public void receive(String senderIp, ByteBuf datagram) {
        SuspectReportCodec.decode(datagram, clock.now()).forEach(quarantine::merge);
    }

    @Override
    public int checksum() {
        return quarantine.checksum();
    }

    @Override
    public void onChecksum(String senderIp, int checksum) {
        if (checksum == quarantine.checksum()) {
            return;
        }
        long now = clock.now();
        snapshotSentAt.values().removeIf(sentAt -> now - sentAt >= SNAPSHOT_INTERVAL_NANOS);
        if (snapshotSentAt.putIfAbsent(senderIp, now) == null) {
            send(quarantine.snapshot(), Optional.of(senderIp));
        }
    }
}

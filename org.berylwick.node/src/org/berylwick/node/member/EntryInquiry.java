package org.berylwick.node.member;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.RetryDelay;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;

/**
 * Has another node read the directory entry of this node while the store does not answer this node, and reads the
 * entries of others for them; confined to the event loop.
 *
 * <p>An entry that is read after a process has asked for it holds every departure that earlier processes of its node
 * have acknowledged. One node is asked at a time, and only nodes that the store answers read anything, so that an
 * outage for all nodes causes no calls.
 */
public final class EntryInquiry implements Gossip.Extension {
    private static final long INITIAL_RETRY_MILLIS = 150;
    private static final long MAX_RETRY_MILLIS = 1_000;
    private static final long READ_TIMEOUT_MILLIS = 500;
    /** Bounds the calls to the store that datagrams can cause at a time. */
    private static final int MAX_READS_IN_PROGRESS = 8;

    private final Clock clock;
    private final String vmName;
    private final long bootId;
    private final NodeDirectory directory;
    private final MemberTable members;
    private final Gossip gossip;
    private final BooleanSupplier storeAnswers;
    private final Consumer<List<String>> onDepartures;
    private final Instruments instruments;
    private final RetryDelay retryDelay = new RetryDelay(INITIAL_RETRY_MILLIS, MAX_RETRY_MILLIS);
    private int readsInProgress;
    private boolean started;
    private boolean ended;

    /**
     * @param clock time source; its tasks run on the event loop
     * @param vmName name of this VM, the key of its entry
     * @param bootId identifies this run of the node process
     * @param directory persistent list of all nodes
     * @param members the other nodes
     * @param gossip sends and receives the datagrams
     * @param storeAnswers whether the store answers this node
     * @param onDepartures receives the departures in the entry of this node, once at most
     * @param instruments receive metric counts and events
     */
    public EntryInquiry(
            Clock clock,
            String vmName,
            long bootId,
            NodeDirectory directory,
            MemberTable members,
            Gossip gossip,
            BooleanSupplier storeAnswers,
            Consumer<List<String>> onDepartures,
            Instruments instruments) {
        this.clock = clock;
        this.vmName = vmName;
        this.bootId = bootId;
        this.directory = directory;
        this.members = members;
        this.gossip = gossip;
        this.storeAnswers = storeAnswers;
        this.onDepartures = onDepartures;
        this.instruments = instruments;
        gossip.addExtension(this);
    }

    /** Asks one node after the other until one has read the entry, or {@link #end} is called. */
    public void startOnce() {
        if (!started) {
            started = true;
            ask();
        }
    }

    /** Ends the inquiry, because this node has read its entry itself. */
    public void end() {
        ended = true;
    }

    private void ask() {
        if (ended) {
            return;
        }
        drawReader().ifPresent(reader -> send(new EntryInquiryCodec.Message.Request(bootId, vmName), reader.ip()));
        clock.schedule(clock.now() + retryDelay.next() * 1_000_000, this::ask);
    }

    private Optional<Member> drawReader() {
        List<Member> readers = new ArrayList<>();
        for (Member member : members.all()) {
            if (member.state().storeReachable() && !member.state().leaving()) {
                readers.add(member);
            }
        }
        return readers.isEmpty()
                ? Optional.empty()
                : Optional.of(readers.get(ThreadLocalRandom.current().nextInt(readers.size())));
    }

    @Override
    public int magic() {
        return EntryInquiryCodec.MAGIC;
    }

    @Override
    public void receive(String senderIp, ByteBuf datagram) {
        switch (EntryInquiryCodec.decode(datagram).orElse(null)) {
            case EntryInquiryCodec.Message.Request request -> readFor(senderIp, request);
            case EntryInquiryCodec.Message.Reply reply -> onReply(senderIp, reply);
            case null -> {
                // Damaged; the request is repeated.
            }
        }
    }

    private void readFor(String ip, EntryInquiryCodec.Message.Request request) {
        if (!storeAnswers.getAsBoolean() || readsInProgress >= MAX_READS_IN_PROGRESS) {
            return;
        }
        readsInProgress++;
        instruments.counters().increment(NodeMetricNames.DIRECTORY_READS_FOR_OTHERS);
        directory.read(request.vmName(), READ_TIMEOUT_MILLIS, result -> {
            readsInProgress--;
            switch (result) {
                case NodeDirectory.ReadResult.Found(NodeDirectory.Entry entry) ->
                    reply(ip, request.bootId(), entry.departures());
                case NodeDirectory.ReadResult.Missing() -> reply(ip, request.bootId(), List.of());
                case NodeDirectory.ReadResult.Failed(String cause) -> {
                    instruments.counters().increment(NodeMetricNames.DIRECTORY_FAILURES);
                    instruments
                            .log()
                            .write(Event.STORE_CALL_FAILED, "call", "read entry for another node", "cause", cause);
                }
            }
        });
    }

    private void reply(String ip, long askerBootId, List<String> departures) {
        // A departure that a datagram would cut short would be missing from the reply.
        if (departures.stream().allMatch(EntryInquiryCodec::fits)) {
            send(new EntryInquiryCodec.Message.Reply(askerBootId, departures), ip);
        }
    }

    private void onReply(String readerIp, EntryInquiryCodec.Message.Reply reply) {
        if (ended || reply.bootId() != bootId) {
            return;
        }
        ended = true;
        instruments
                .log()
                .write(
                        Event.ENTRY_READ_BY_OTHER_NODE,
                        "ip",
                        readerIp,
                        "departures",
                        reply.departures().size());
        onDepartures.accept(reply.departures());
    }

    private void send(EntryInquiryCodec.Message message, String ip) {
        ByteBuf datagram = Unpooled.buffer();
        EntryInquiryCodec.encode(message, datagram);
        gossip.sendDatagram(datagram, Optional.of(ip));
    }
}

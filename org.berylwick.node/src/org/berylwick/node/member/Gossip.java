package org.berylwick.node.member;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.transport.HeapReceiveAllocator;

/**
 * Sends this node's state to all other nodes in UDP datagrams, and receives theirs. Confined to the event loop.
 *
 * <p>Each node sends only its own state, so that no outdated state is relayed. Because datagrams get lost, a change is
 * sent three times within 120 ms. A restarted node receives the state of all others within one period, since they keep
 * sending to its address; it therefore needs neither persisted state nor the store to rejoin.
 */
public final class Gossip implements AutoCloseable {
    /**
     * Time by which each node in the fleet lengthens the period between two rounds. Between the minimum and the maximum
     * period, a node therefore does not receive more datagrams per second in a larger fleet. With 13 nodes each node
     * sends every 0.5 s, with 76 nodes every 1.9 s.
     */
    private static final long PERIOD_PER_NODE_NANOS = 25_000_000L;

    private static final long MIN_PERIOD_NANOS = 500_000_000L;
    private static final long MAX_PERIOD_NANOS = 4_000_000_000L;
    /** Number of rounds without a datagram after which a node counts as silent. */
    private static final double SILENCE_TIMEOUT_ROUNDS = 3.5;

    private static final long[] REPEAT_DELAYS_MILLIS = {40, 80};
    /** Changes that follow each other within this time are sent in one broadcast. */
    private static final long COALESCING_WINDOW_NANOS = 15_000_000L;

    private static final int MAX_PEER_ADDRESSES_PER_DATAGRAM = 3;
    private static final int INITIAL_BUFFER_BYTES = 160;
    /**
     * Number of rounds of which one includes addresses of other nodes. They take up a quarter of a datagram and are
     * only needed by nodes that missed each other's start.
     */
    private static final int ROUNDS_PER_PEER_EXCHANGE = 4;

    /**
     * An address from which no datagram was received for this long is unresponsive: this node sends to it only in every
     * tenth round, and then requests a reply.
     */
    private static final long UNRESPONSIVE_NANOS = 15_000_000_000L;

    private final EventLoop loop;
    private final String ownIp;
    private final int port;
    private final MemberTable table;
    private final Supplier<NodeState> ownState;
    private final Counters counters;
    private final EventLog log;
    private final BiConsumer<Member, MemberTable.UpdateResult> onStateReceived;
    private final List<Extension> extensions = new ArrayList<>();
    private Optional<StateChecksum> stateChecksum = Optional.empty();
    private Consumer<FormerBackend> onFormerBackend = former -> {};
    /**
     * The addresses to which this node sends its state, and when the latest datagram was received from each. For an
     * address from which none was received yet, it is the time when the address was added.
     */
    private final Map<String, Long> lastDatagramAtByAddress = new HashMap<>();

    private Channel channel;
    private long round;
    private int pendingChanges;
    private long lastBroadcastAt = System.nanoTime() - COALESCING_WINDOW_NANOS;
    private boolean repeatScheduled;
    private int repeatsSent;

    /**
     * @param loop event loop on which everything runs
     * @param ownIp IP address of this node
     * @param port UDP port, the same on all nodes
     * @param table stores the states that are received
     * @param ownState supplies the current state of this node
     * @param counters metrics of this node
     * @param log event log of this node
     * @param onStateReceived called for each received state that was not stale
     */
    public Gossip(
            EventLoop loop,
            String ownIp,
            int port,
            MemberTable table,
            Supplier<NodeState> ownState,
            Counters counters,
            EventLog log,
            BiConsumer<Member, MemberTable.UpdateResult> onStateReceived) {
        this.loop = loop;
        this.ownIp = ownIp;
        this.port = port;
        this.table = table;
        this.ownState = ownState;
        this.counters = counters;
        this.log = log;
        this.onStateReceived = onStateReceived;
    }

    /** What nodes exchange besides their states. Called on the event loop. */
    public interface Extension {
        /** First four bytes of its datagrams, different for each extension. */
        int magic();

        /** Processes a datagram, after its first four bytes. */
        void receive(String senderIp, ByteBuf datagram);
    }

    /** A number that is sent with each state. Called on the event loop. */
    public interface StateChecksum {
        /** Returns the number, which differs between nodes that have to exchange something. */
        int checksum();

        /** Processes the number that another node has sent. */
        void onChecksum(String senderIp, int checksum);
    }

    /** Adds something that is exchanged besides the states; called before the start. */
    public void addExtension(Extension extension) {
        extensions.add(extension);
    }

    /** Sets the number that is sent with each state; called before the start. */
    public void setStateChecksum(StateChecksum newStateChecksum) {
        stateChecksum = Optional.of(newStateChecksum);
    }

    /**
     * Sets what processes the states that other nodes have received from earlier processes of this node; called before
     * the start.
     */
    public void setFormerBackendListener(Consumer<FormerBackend> listener) {
        onFormerBackend = listener;
    }

    /** Sends a datagram to all other nodes that are responsive, or to one of them; releases it. */
    public void sendDatagram(ByteBuf datagram, Optional<String> receiver) {
        List<String> receivers = receiver.map(List::of).orElseGet(this::responsiveAddresses);
        write(datagram, receivers);
    }

    private List<String> responsiveAddresses() {
        long now = System.nanoTime();
        List<String> responsive = new ArrayList<>(lastDatagramAtByAddress.size());
        lastDatagramAtByAddress.forEach((address, lastDatagramAt) -> {
            if (now - lastDatagramAt <= UNRESPONSIVE_NANOS) {
                responsive.add(address);
            }
        });
        return responsive;
    }

    /** Binds the UDP socket and starts the periodic rounds. */
    public void start() {
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new HeapReceiveAllocator())
                .handler(new Receiver())
                .bind(new InetSocketAddress(ownIp, port))
                .syncUninterruptibly()
                .channel();
        loop.execute(this::runRound);
    }

    /** Adds an address where a node may be running, and requests its state immediately. */
    public void addPeerAddress(String address) {
        if (address.equals(ownIp) || lastDatagramAtByAddress.containsKey(address)) {
            return;
        }
        lastDatagramAtByAddress.put(address, System.nanoTime());
        if (channel != null) {
            send(List.of(address), true);
        }
    }

    /** Number of addresses to which this node sends its state. */
    public int peerAddressCount() {
        return lastDatagramAtByAddress.size();
    }

    /** Number of addresses from which a datagram was received, or which were added, within a time. */
    public int peerAddressCount(long maxAgeNanos) {
        long now = System.nanoTime();
        return (int) lastDatagramAtByAddress.values().stream()
                .filter(at -> now - at <= maxAgeNanos)
                .count();
    }

    /** Time without a datagram after which a node counts as silent; grows with the length of a round. */
    public long silenceTimeoutNanos() {
        return (long) (periodNanos() * SILENCE_TIMEOUT_ROUNDS);
    }

    /**
     * Sends a changed state to all nodes, and repeats that twice shortly after. The first broadcast is sent immediately
     * unless the previous one was less than {@link #COALESCING_WINDOW_NANOS} ago or no round has been run yet. Then it
     * is delayed, and changes in quick succession are sent together: a node that has just started learns of its backend
     * server, the version and other nodes at about the same time, and must not spend scarce CPU time on a broadcast for
     * each.
     */
    public void scheduleBroadcast() {
        pendingChanges++;
        if (pendingChanges > 1) {
            return;
        }
        long sinceLastBroadcast = System.nanoTime() - lastBroadcastAt;
        long delay = round == 0 ? COALESCING_WINDOW_NANOS : Math.max(0, COALESCING_WINDOW_NANOS - sinceLastBroadcast);
        if (delay == 0) {
            broadcastChanges();
        } else {
            loop.schedule(this::broadcastChanges, delay, TimeUnit.NANOSECONDS);
        }
    }

    private void broadcastChanges() {
        pendingChanges = 0;
        lastBroadcastAt = System.nanoTime();
        repeatsSent = 0;
        broadcast(false);
        if (!repeatScheduled) {
            repeatScheduled = true;
            scheduleRepeat();
        }
    }

    /** Schedules the next repeat of a broadcast. A change in between restarts the count of repeats. */
    private void scheduleRepeat() {
        loop.schedule(
                () -> {
                    broadcast(false);
                    repeatsSent++;
                    repeatScheduled = repeatsSent < REPEAT_DELAYS_MILLIS.length;
                    if (repeatScheduled) {
                        scheduleRepeat();
                    }
                },
                REPEAT_DELAYS_MILLIS[Math.min(repeatsSent, REPEAT_DELAYS_MILLIS.length - 1)],
                TimeUnit.MILLISECONDS);
    }

    /** Sends the state to the nodes of one availability zone immediately, and repeats that twice shortly after. */
    public void broadcastToZoneNow(String zone) {
        Runnable sendToZone = () -> {
            List<String> zoneAddresses = new ArrayList<>();
            for (Member member : table.all()) {
                if (member.state().zone().equals(zone)) {
                    zoneAddresses.add(member.ip());
                }
            }
            send(zoneAddresses, false);
        };
        sendToZone.run();
        long delayMillis = 0;
        for (long stepMillis : REPEAT_DELAYS_MILLIS) {
            delayMillis += stepMillis;
            loop.schedule(sendToZone, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private long periodNanos() {
        long period = PERIOD_PER_NODE_NANOS * (lastDatagramAtByAddress.size() + 1);
        return Math.max(MIN_PERIOD_NANOS, Math.min(MAX_PERIOD_NANOS, period));
    }

    private void runRound() {
        round++;
        broadcast(round == 1);
        long now = System.nanoTime();
        table.notifySilent(silenceTimeoutNanos(), now);
        table.removeExpired(now);
        long period = periodNanos();
        long jitter = ThreadLocalRandom.current().nextLong(period / 10 + 1);
        loop.schedule(this::runRound, period - period / 20 + jitter, TimeUnit.NANOSECONDS);
    }

    private void broadcast(boolean replyRequested) {
        long now = System.nanoTime();
        List<String> withoutReplyRequest = new ArrayList<>(lastDatagramAtByAddress.size());
        List<String> withReplyRequest = new ArrayList<>();
        for (Map.Entry<String, Long> peer : lastDatagramAtByAddress.entrySet()) {
            boolean unresponsive = now - peer.getValue() > UNRESPONSIVE_NANOS;
            if (unresponsive && round % 10 != 0) {
                continue;
            }
            (replyRequested || unresponsive ? withReplyRequest : withoutReplyRequest).add(peer.getKey());
        }
        send(withoutReplyRequest, false);
        send(withReplyRequest, true);
    }

    private void send(List<String> addresses, boolean replyRequested) {
        send(addresses, replyRequested, Optional.empty());
    }

    /** Replies with the current state, and with what an earlier process of the receiver told of its backend server. */
    private void reply(String address) {
        long now = System.nanoTime();
        send(List.of(address), false, table.find(address).flatMap(member -> member.formerBackend(now)));
    }

    /** Sends the current state to the addresses; it is encoded only once. */
    private void send(List<String> addresses, boolean replyRequested, Optional<FormerBackend> formerBackend) {
        if (channel == null || !channel.isActive() || addresses.isEmpty()) {
            return;
        }
        boolean includePeerAddresses = replyRequested || round % ROUNDS_PER_PEER_EXCHANGE == 0;
        List<String> peerAddresses = includePeerAddresses ? samplePeerAddresses() : List.of();
        int checksum = stateChecksum.map(StateChecksum::checksum).orElse(0);
        ByteBuf bytes = Unpooled.buffer(INITIAL_BUFFER_BYTES);
        NodeStateCodec.encode(
                new NodeStateCodec.Message(ownState.get(), replyRequested, peerAddresses, checksum, formerBackend),
                bytes);
        write(bytes, addresses);
    }

    private void write(ByteBuf bytes, List<String> addresses) {
        if (channel == null || !channel.isActive()) {
            bytes.release();
            return;
        }
        counters.add(NodeMetricNames.GOSSIP_SENT_DATAGRAMS, addresses.size());
        counters.add(NodeMetricNames.GOSSIP_SENT_BYTES, (long) bytes.readableBytes() * addresses.size());
        for (String address : addresses) {
            channel.write(new DatagramPacket(bytes.retainedDuplicate(), new InetSocketAddress(address, port)));
        }
        channel.flush();
        bytes.release();
    }

    private List<String> samplePeerAddresses() {
        if (lastDatagramAtByAddress.size() < 2) {
            return List.of();
        }
        // Each of two nodes that do not know each other gets the other's address from a third node within a few rounds.
        List<String> sample = new ArrayList<>(MAX_PEER_ADDRESSES_PER_DATAGRAM);
        int skip = ThreadLocalRandom.current().nextInt(lastDatagramAtByAddress.size());
        for (String address : lastDatagramAtByAddress.keySet()) {
            if (skip-- > 0) {
                continue;
            }
            sample.add(address);
            if (sample.size() == MAX_PEER_ADDRESSES_PER_DATAGRAM) {
                break;
            }
        }
        return sample;
    }

    private void receive(String senderIp, NodeStateCodec.Message message) {
        long now = System.nanoTime();
        boolean newSender = lastDatagramAtByAddress.put(senderIp, now) == null;
        long bootIdBefore = table.find(senderIp)
                .map(member -> member.state().bootId())
                .orElse(message.state().bootId());
        MemberTable.UpdateResult result = table.update(senderIp, message.state(), now);
        boolean restarted = bootIdBefore != message.state().bootId();
        message.formerBackend().ifPresent(onFormerBackend);
        stateChecksum.ifPresent(s -> s.onChecksum(senderIp, message.quarantineChecksum()));
        if (newSender || restarted || message.replyRequested()) {
            reply(senderIp);
        }
        for (String peerAddress : message.peerAddresses()) {
            if (!table.find(peerAddress).isPresent()) {
                addPeerAddress(peerAddress);
            }
        }
        if (result != MemberTable.UpdateResult.STALE) {
            table.find(senderIp).ifPresent(member -> onStateReceived.accept(member, result));
        }
    }

    @Override
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            counters.increment(NodeMetricNames.GOSSIP_RECEIVED_DATAGRAMS);
            String senderIp = packet.sender().getAddress().getHostAddress();
            ByteBuf content = packet.content();
            for (Extension extension : extensions) {
                if (startsWith(content, extension.magic())) {
                    extension.receive(senderIp, content.skipBytes(Integer.BYTES));
                    return;
                }
            }
            NodeStateCodec.decode(content).ifPresent(message -> receive(senderIp, message));
        }

        private static boolean startsWith(ByteBuf content, int magic) {
            return content.readableBytes() >= Integer.BYTES && content.getInt(content.readerIndex()) == magic;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Sending to a port without a listener is reported as an I/O error of the socket. It only means that the
            // other node is down, so it is counted but not logged.
            counters.increment(NodeMetricNames.GOSSIP_ERRORS);
            if (!(cause instanceof java.io.IOException)) {
                log.write(Event.INTERNAL_ERROR, "where", "gossip", "cause", cause);
            }
        }
    }
}

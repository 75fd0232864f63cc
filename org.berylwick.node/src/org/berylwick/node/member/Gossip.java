package org.berylwick.node.member;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.NodeMetricNames;

/**
 * Tells this node's state to all others by datagrams, and hears theirs; confined to the event loop.
 *
 * <p>Each node speaks for itself alone, so nothing is ever relayed late. A change is told three times within 120 ms
 * because datagrams get lost; a node that was restarted hears of all others within one period, since they go on telling
 * it, and so needs no memory and no store.
 */
public final class Gossip implements AutoCloseable {
    /** Between two rounds, for each node in the fleet: 13 nodes tell every 0.5 s, 76 every 1.9 s. */
    private static final long PERIOD_PER_NODE_NANOS = 25_000_000L;

    private static final long SHORTEST_PERIOD_NANOS = 500_000_000L;
    private static final long LONGEST_PERIOD_NANOS = 4_000_000_000L;
    /** Rounds without a word after which a node counts as silent. */
    private static final double SILENT_ROUNDS = 3.5;

    private static final long[] REPEATS_MILLIS = {40, 80};
    /** Changes within this are told together. */
    private static final long TOGETHER_NANOS = 15_000_000L;

    private static final int OTHERS_TOLD = 3;
    private static final int USUAL_BYTES = 160;
    /** Addresses of others are a quarter of a datagram, and only needed by nodes that missed each other's start. */
    private static final int ROUNDS_PER_INTRODUCTION = 4;

    /** An address that does not answer is tried every tenth round after this span. */
    private static final long QUIET_NANOS = 15_000_000_000L;

    private final EventLoop loop;
    private final String ip;
    private final int port;
    private final MemberTable table;
    private final Supplier<NodeState> self;
    private final Counters counters;
    private final EventLog log;
    private final BiConsumer<Member, MemberTable.Hearing> onHeard;
    private final Map<String, Long> contacts = new HashMap<>();
    private Channel channel;
    private long round;
    private int changes;
    private long toldAt = System.nanoTime() - TOGETHER_NANOS;
    private boolean repeating;
    private int repeatsTold;

    /**
     * @param loop all runs on it
     * @param ip this node's address
     * @param port of all nodes
     * @param table takes what is heard
     * @param self tells this node's state
     * @param counters takes counts
     * @param log takes events
     * @param onHeard hears of each datagram that was taken over
     */
    public Gossip(
            EventLoop loop,
            String ip,
            int port,
            MemberTable table,
            Supplier<NodeState> self,
            Counters counters,
            EventLog log,
            BiConsumer<Member, MemberTable.Hearing> onHeard) {
        this.loop = loop;
        this.ip = ip;
        this.port = port;
        this.table = table;
        this.self = self;
        this.counters = counters;
        this.log = log;
        this.onHeard = onHeard;
    }

    /** Opens the socket and starts the rounds. */
    public void start() {
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new Receiver())
                .bind(new InetSocketAddress(ip, port))
                .syncUninterruptibly()
                .channel();
        loop.execute(this::runRound);
    }

    /** Adds an address where a node may be; it is asked for its state at once. */
    public void addContact(String address) {
        if (address.equals(ip) || contacts.containsKey(address)) {
            return;
        }
        contacts.put(address, System.nanoTime());
        if (channel != null) {
            send(List.of(address), true);
        }
    }

    /** How many addresses are told of this node. */
    public int contactCount() {
        return contacts.size();
    }

    /** After this span without a word a node counts as silent. */
    public long silentNanos() {
        return (long) (periodNanos() * SILENT_ROUNDS);
    }

    /**
     * Tells all nodes at once, and again twice soon after. What changes within a moment is told together: a node that
     * has just started learns of its backend server, the version and others at about the same time, and has no
     * processor time to spare.
     */
    public void tellNow() {
        changes++;
        if (changes > 1) {
            return;
        }
        long sinceTold = System.nanoTime() - toldAt;
        long wait = round == 0 ? TOGETHER_NANOS : Math.max(0, TOGETHER_NANOS - sinceTold);
        if (wait == 0) {
            tellChanges();
        } else {
            loop.schedule(this::tellChanges, wait, TimeUnit.NANOSECONDS);
        }
    }

    private void tellChanges() {
        changes = 0;
        toldAt = System.nanoTime();
        repeatsTold = 0;
        tellAll(false);
        if (!repeating) {
            repeating = true;
            planRepeat();
        }
    }

    /** Repeats what was told last; a change in between is told at once and starts the repeats anew. */
    private void planRepeat() {
        loop.schedule(
                () -> {
                    tellAll(false);
                    repeatsTold++;
                    repeating = repeatsTold < REPEATS_MILLIS.length;
                    if (repeating) {
                        planRepeat();
                    }
                },
                REPEATS_MILLIS[Math.min(repeatsTold, REPEATS_MILLIS.length - 1)],
                TimeUnit.MILLISECONDS);
    }

    /** Tells the nodes of one availability zone at once, and again twice soon after. */
    public void tellZoneNow(String zone) {
        Runnable tell = () -> {
            List<String> near = new ArrayList<>();
            for (Member member : table.all()) {
                if (member.state().zone().equals(zone)) {
                    near.add(member.ip());
                }
            }
            send(near, false);
        };
        tell.run();
        long after = 0;
        for (long millis : REPEATS_MILLIS) {
            after += millis;
            loop.schedule(tell, after, TimeUnit.MILLISECONDS);
        }
    }

    private long periodNanos() {
        long period = PERIOD_PER_NODE_NANOS * (contacts.size() + 1);
        return Math.max(SHORTEST_PERIOD_NANOS, Math.min(LONGEST_PERIOD_NANOS, period));
    }

    private void runRound() {
        round++;
        tellAll(round == 1);
        long now = System.nanoTime();
        table.tellSilent(silentNanos(), now);
        table.tidy(now);
        long period = periodNanos();
        long jitter = ThreadLocalRandom.current().nextLong(period / 10 + 1);
        loop.schedule(this::runRound, period - period / 20 + jitter, TimeUnit.NANOSECONDS);
    }

    private void tellAll(boolean answerWanted) {
        long now = System.nanoTime();
        List<String> told = new ArrayList<>(contacts.size());
        List<String> asked = new ArrayList<>();
        for (Map.Entry<String, Long> contact : contacts.entrySet()) {
            boolean quiet = now - contact.getValue() > QUIET_NANOS;
            if (quiet && round % 10 != 0) {
                continue;
            }
            (answerWanted || quiet ? asked : told).add(contact.getKey());
        }
        send(told, false);
        send(asked, true);
    }

    /** Sends the same datagram to some addresses. */
    private void send(List<String> addresses, boolean answerWanted) {
        if (!channel.isActive() || addresses.isEmpty()) {
            return;
        }
        boolean withOthers = answerWanted || round % ROUNDS_PER_INTRODUCTION == 0;
        List<String> others = withOthers ? someContacts() : List.of();
        ByteBuf bytes = Unpooled.buffer(USUAL_BYTES);
        NodeStateCodec.write(new NodeStateCodec.Message(self.get(), answerWanted, others), bytes);
        counters.add(NodeMetricNames.GOSSIP_SENT_DATAGRAMS, addresses.size());
        counters.add(NodeMetricNames.GOSSIP_SENT_BYTES, (long) bytes.readableBytes() * addresses.size());
        for (String address : addresses) {
            channel.write(new DatagramPacket(bytes.retainedDuplicate(), new InetSocketAddress(address, port)));
        }
        channel.flush();
        bytes.release();
    }

    private List<String> someContacts() {
        if (contacts.size() < 2) {
            return List.of();
        }
        // Two nodes that never learnt of each other hear of each other by a third within some rounds.
        List<String> known = new ArrayList<>(OTHERS_TOLD);
        int skip = ThreadLocalRandom.current().nextInt(contacts.size());
        for (String address : contacts.keySet()) {
            if (skip-- > 0) {
                continue;
            }
            known.add(address);
            if (known.size() == OTHERS_TOLD) {
                break;
            }
        }
        return known;
    }

    private void receive(String from, NodeStateCodec.Message message) {
        long now = System.nanoTime();
        boolean unknown = contacts.put(from, now) == null;
        MemberTable.Hearing hearing = table.hear(from, message.state(), now);
        if (unknown || message.answerWanted()) {
            send(List.of(from), false);
        }
        for (String other : message.others()) {
            if (!table.find(other).isPresent()) {
                addContact(other);
            }
        }
        if (hearing != MemberTable.Hearing.STALE) {
            table.find(from).ifPresent(m -> onHeard.accept(m, hearing));
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
            String from = packet.sender().getAddress().getHostAddress();
            NodeStateCodec.read(packet.content()).ifPresent(m -> receive(from, m));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A port without a listener is told as an error of the socket; the node there is only down.
            counters.increment(NodeMetricNames.GOSSIP_ERRORS);
            if (!(cause instanceof java.io.IOException)) {
                log.write(Event.INTERNAL_ERROR, "where", "gossip", "cause", cause);
            }
        }
    }
}

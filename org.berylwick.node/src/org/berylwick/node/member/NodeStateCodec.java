package org.berylwick.node.member;

import io.netty.buffer.ByteBuf;
import io.netty.util.NetUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RolloutNotice;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.ServiceTimeDistribution;

/** Encodes and decodes gossip datagrams: the sender's state and the addresses of some other nodes. */
public final class NodeStateCodec {
    private static final int MAGIC = 0x4257_4e36;
    private static final int FLAG_STORE_REACHABLE = 1;
    private static final int FLAG_LEAVING = 2;
    private static final int FLAG_REPLY_REQUESTED = 4;
    /** The backend server states a limit on the rate of its requests. */
    private static final int FLAG_LIMITED = 8;
    /** The sender states the version of its backend server, and what it knows of roll-outs. */
    private static final int FLAG_ROLLOUT = 16;
    /** The sender states what an earlier process of the receiver told of its backend server. */
    private static final int FLAG_FORMER_BACKEND = 32;

    /** Set in the kind of a class of requests that backend servers make. */
    private static final int KIND_FLAG_CALLS = 0x80;

    private static final double PER_MILLE = 1e3;
    private static final long MAX_LINK_BUSY_MILLIS = 65_535;
    private static final long MAX_LIMIT_WAIT_MILLIS = 65_535;
    private static final RouteKind[] ROUTE_KINDS = RouteKind.values();

    private NodeStateCodec() {}

    private static List<ServiceTimeDistribution> readServiceTimes(ByteBuf in) {
        int count = in.readUnsignedByte();
        List<ServiceTimeDistribution> times = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int kindByte = in.readUnsignedByte();
            int kindOrdinal = kindByte & ~KIND_FLAG_CALLS;
            int priority = in.readByte();
            int objectiveMillis = in.readInt();
            long medianNanos = in.readInt() * 1_000L;
            double logStdDev = in.readUnsignedShort() / PER_MILLE;
            if (kindOrdinal < ROUTE_KINDS.length && medianNanos > 0) {
                times.add(new ServiceTimeDistribution(
                        new RequestClass(ROUTE_KINDS[kindOrdinal], priority, objectiveMillis),
                        medianNanos,
                        logStdDev,
                        (kindByte & KIND_FLAG_CALLS) != 0));
            }
        }
        return times;
    }

    /**
     * The content of a datagram.
     *
     * @param state state of the sender
     * @param replyRequested whether the receiver should send its own state back
     * @param peerAddresses IPv4 addresses of other nodes
     * @param quarantineChecksum checksum of what the sender knows of crashing requests, 0 if it knows of none
     * @param formerBackend what an earlier process of the receiver told the sender of its backend server
     */
    public record Message(
            NodeState state,
            boolean replyRequested,
            List<String> peerAddresses,
            int quarantineChecksum,
            Optional<FormerBackend> formerBackend) {
        /** Creates a datagram without a backend server of the receiver. */
        public Message(NodeState state, boolean replyRequested, List<String> peerAddresses, int quarantineChecksum) {
            this(state, replyRequested, peerAddresses, quarantineChecksum, Optional.empty());
        }
    }

    /** Encodes a datagram. Times are rounded down to microseconds or milliseconds. */
    public static void encode(Message message, ByteBuf out) {
        NodeState state = message.state();
        out.writeInt(MAGIC);
        out.writeByte(flagsOf(message));
        out.writeLong(state.bootId());
        out.writeLong(state.sequence());
        out.writeShort(state.linkMbps());
        out.writeLong(state.version());
        out.writeByte(state.backendState().ordinal());
        out.writeInt((int) (state.warmUpRemainingNanos() / 1_000_000));
        out.writeShort(state.load().running());
        out.writeShort(state.load().queued());
        out.writeShort(state.load().slots());
        out.writeInt((int) (state.load().meanNanos() / 1_000));
        out.writeShort(state.load().lostPerMille());
        out.writeShort((int) Math.min(MAX_LINK_BUSY_MILLIS, state.load().incomingLinkBusyNanos() / 1_000_000));
        out.writeShort((int) Math.min(MAX_LINK_BUSY_MILLIS, state.load().outgoingLinkBusyNanos() / 1_000_000));
        writeString(state.zone(), out);
        writeString(state.service(), out);
        writeString(state.incarnation(), out);
        out.writeByte(state.serviceTimes().size());
        for (ServiceTimeDistribution time : state.serviceTimes()) {
            out.writeByte(time.requestClass().kind().ordinal() | (time.calls() ? KIND_FLAG_CALLS : 0));
            out.writeByte(time.requestClass().priority());
            out.writeInt(time.requestClass().objectiveMillis());
            out.writeInt((int) (time.medianNanos() / 1_000));
            out.writeShort((int) (time.logStdDev() * PER_MILLE));
        }
        out.writeByte(message.peerAddresses().size());
        for (String ip : message.peerAddresses()) {
            writeString(ip, out);
        }
        writeOptionalFields(message, out);
    }

    private static int flagsOf(Message message) {
        NodeState state = message.state();
        return (state.storeReachable() ? FLAG_STORE_REACHABLE : 0)
                | (state.leaving() ? FLAG_LEAVING : 0)
                | (message.replyRequested() ? FLAG_REPLY_REQUESTED : 0)
                | (isLimited(state) ? FLAG_LIMITED : 0)
                | (hasRollout(state) ? FLAG_ROLLOUT : 0)
                | (message.formerBackend().isPresent() ? FLAG_FORMER_BACKEND : 0);
    }

    /** Writes the fields that are nearly always empty, unless all of them are. */
    private static void writeOptionalFields(Message message, ByteBuf out) {
        NodeState state = message.state();
        Optional<FormerBackend> formerBackend = message.formerBackend();
        if (message.quarantineChecksum() != 0 || isLimited(state) || hasRollout(state) || formerBackend.isPresent()) {
            out.writeInt(message.quarantineChecksum());
        }
        if (isLimited(state)) {
            out.writeInt((int) (state.load().startIntervalNanos() / 1_000));
            out.writeShort((int) Math.min(MAX_LIMIT_WAIT_MILLIS, state.load().limitWaitNanos() / 1_000_000));
        }
        if (hasRollout(state)) {
            RolloutNoticeCodec.encode(state.rollout(), System.nanoTime(), out);
        }
        if (formerBackend.isPresent()) {
            writeString(formerBackend.get().incarnation(), out);
            out.writeByte(formerBackend.get().state().ordinal());
        }
    }

    private static boolean isLimited(NodeState state) {
        return state.load().startIntervalNanos() > 0;
    }

    private static boolean hasRollout(NodeState state) {
        return !state.rollout().softwareVersion().isEmpty()
                || !state.rollout().states().isEmpty();
    }

    private static List<String> readAddresses(ByteBuf in) {
        int count = in.readUnsignedByte();
        List<String> addresses = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            String address = readString(in);
            // Anything else would be resolved as a host name, which blocks the event loop.
            if (NetUtil.isValidIpV4Address(address)) {
                addresses.add(address);
            }
        }
        return addresses;
    }

    private static OwnerLoad readLoad(ByteBuf in) {
        return new OwnerLoad(
                in.readUnsignedShort(),
                in.readUnsignedShort(),
                in.readUnsignedShort(),
                in.readInt() * 1_000L,
                in.readUnsignedShort(),
                in.readUnsignedShort() * 1_000_000L,
                in.readUnsignedShort() * 1_000_000L,
                0,
                0);
    }

    /** Decodes a datagram; empty if the bytes are not a valid datagram. */
    public static Optional<Message> decode(ByteBuf in) {
        try {
            if (in.readInt() != MAGIC) {
                return Optional.empty();
            }
            int flags = in.readUnsignedByte();
            long bootId = in.readLong();
            long sequence = in.readLong();
            int linkMbps = in.readUnsignedShort();
            long version = in.readLong();
            BackendState backendState = BackendState.fromOrdinal(in.readUnsignedByte());
            long warmUpRemainingNanos = in.readInt() * 1_000_000L;
            OwnerLoad load = readLoad(in);
            String zone = readString(in);
            String service = readString(in);
            String incarnation = readString(in);
            List<ServiceTimeDistribution> serviceTimes = readServiceTimes(in);
            List<String> peerAddresses = readAddresses(in);
            int quarantineChecksum = in.readableBytes() >= Integer.BYTES ? in.readInt() : 0;
            if ((flags & FLAG_LIMITED) != 0) {
                load = load.withLimit(in.readInt() * 1_000L, in.readUnsignedShort() * 1_000_000L);
            }
            RolloutNotice rollout =
                    (flags & FLAG_ROLLOUT) != 0 ? RolloutNoticeCodec.decode(in, System.nanoTime()) : RolloutNotice.NONE;
            Optional<FormerBackend> formerBackend = (flags & FLAG_FORMER_BACKEND) != 0
                    ? Optional.of(new FormerBackend(readString(in), BackendState.fromOrdinal(in.readUnsignedByte())))
                    : Optional.empty();
            NodeState state = new NodeState(
                    bootId,
                    sequence,
                    zone,
                    linkMbps,
                    version,
                    (flags & FLAG_STORE_REACHABLE) != 0,
                    (flags & FLAG_LEAVING) != 0,
                    service,
                    incarnation,
                    backendState,
                    warmUpRemainingNanos,
                    load,
                    serviceTimes,
                    rollout);
            return Optional.of(new Message(
                    state, (flags & FLAG_REPLY_REQUESTED) != 0, peerAddresses, quarantineChecksum, formerBackend));
        } catch (IndexOutOfBoundsException e) {
            // A truncated datagram is ignored; the node that sent it sends its state again in the next gossip round.
            return Optional.empty();
        }
    }

    /** Writes a string with its length in one byte; only the first 255 bytes of a longer string are written. */
    static void writeString(String text, ByteBuf out) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, 255);
        out.writeByte(length);
        out.writeBytes(bytes, 0, length);
    }

    static String readString(ByteBuf in) {
        int length = in.readUnsignedByte();
        return in.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }
}

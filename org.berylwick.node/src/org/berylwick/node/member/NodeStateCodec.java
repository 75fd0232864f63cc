package org.berylwick.node.member;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.ServiceTimeDistribution;

/** The datagram between nodes: the sender's state and some addresses of other nodes. */
public final class NodeStateCodec {
    private static final int MAGIC = 0x4257_4e36;
    private static final int FLAG_STORE = 1;
    private static final int FLAG_LEAVING = 2;
    private static final int FLAG_ANSWER_WANTED = 4;

    private static final double PER_MILLE = 1e3;
    private static final long MOST_LINK_MILLIS = 65_535;
    private static final RouteKind[] KINDS = RouteKind.values();

    private NodeStateCodec() {}

    private static List<ServiceTimeDistribution> readTimes(ByteBuf in) {
        int count = in.readUnsignedByte();
        List<ServiceTimeDistribution> times = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int kind = in.readUnsignedByte();
            int priority = in.readByte();
            int objective = in.readInt();
            long median = in.readInt() * 1_000L;
            double spread = in.readUnsignedShort() / PER_MILLE;
            if (kind < KINDS.length && median > 0) {
                times.add(new ServiceTimeDistribution(
                        new RequestClass(KINDS[kind], priority, objective), median, spread));
            }
        }
        return times;
    }

    /**
     * A datagram.
     *
     * @param state of the sender
     * @param answerWanted whether the sender asks for the receiver's state
     * @param others IPv4 addresses of other nodes
     */
    public record Message(NodeState state, boolean answerWanted, List<String> others) {}

    /** Writes a datagram. */
    public static void write(Message message, ByteBuf out) {
        NodeState s = message.state();
        out.writeInt(MAGIC);
        int flags = (s.storeReached() ? FLAG_STORE : 0)
                | (s.leaving() ? FLAG_LEAVING : 0)
                | (message.answerWanted() ? FLAG_ANSWER_WANTED : 0);
        out.writeByte(flags);
        out.writeLong(s.boot());
        out.writeLong(s.sequence());
        out.writeShort(s.linkMbps());
        out.writeLong(s.version());
        out.writeByte(s.backend().ordinal());
        out.writeInt((int) (s.warmUpNanos() / 1_000_000));
        out.writeShort(s.load().running());
        out.writeShort(s.load().queued());
        out.writeShort(s.load().slots());
        out.writeInt((int) (s.load().meanNanos() / 1_000));
        out.writeShort(s.load().lostPerMille());
        out.writeShort((int) Math.min(MOST_LINK_MILLIS, s.load().incomingNanos() / 1_000_000));
        out.writeShort((int) Math.min(MOST_LINK_MILLIS, s.load().outgoingNanos() / 1_000_000));
        writeText(s.zone(), out);
        writeText(s.service(), out);
        writeText(s.incarnation(), out);
        out.writeByte(s.times().size());
        for (ServiceTimeDistribution time : s.times()) {
            out.writeByte(time.requestClass().kind().ordinal());
            out.writeByte(time.requestClass().priority());
            out.writeInt(time.requestClass().objectiveMillis());
            out.writeInt((int) (time.medianNanos() / 1_000));
            out.writeShort((int) (time.logStdDev() * PER_MILLE));
        }
        out.writeByte(message.others().size());
        for (String ip : message.others()) {
            writeText(ip, out);
        }
    }

    /** Reads a datagram; empty for anything that is not one. */
    public static Optional<Message> read(ByteBuf in) {
        try {
            if (in.readInt() != MAGIC) {
                return Optional.empty();
            }
            int flags = in.readUnsignedByte();
            long boot = in.readLong();
            long sequence = in.readLong();
            int linkMbps = in.readUnsignedShort();
            long version = in.readLong();
            BackendState backend = BackendState.fromOrdinal(in.readUnsignedByte());
            long warmUp = in.readInt() * 1_000_000L;
            OwnerLoad load = new OwnerLoad(
                    in.readUnsignedShort(),
                    in.readUnsignedShort(),
                    in.readUnsignedShort(),
                    in.readInt() * 1_000L,
                    in.readUnsignedShort(),
                    in.readUnsignedShort() * 1_000_000L,
                    in.readUnsignedShort() * 1_000_000L);
            String zone = readText(in);
            String service = readText(in);
            String incarnation = readText(in);
            List<ServiceTimeDistribution> times = readTimes(in);
            NodeState state = new NodeState(
                    boot,
                    sequence,
                    zone,
                    linkMbps,
                    version,
                    (flags & FLAG_STORE) != 0,
                    (flags & FLAG_LEAVING) != 0,
                    service,
                    incarnation,
                    backend,
                    warmUp,
                    load,
                    times);
            int count = in.readUnsignedByte();
            List<String> others = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                others.add(readText(in));
            }
            return Optional.of(new Message(state, (flags & FLAG_ANSWER_WANTED) != 0, others));
        } catch (IndexOutOfBoundsException e) {
            // A datagram cut short; its sender tells again soon.
            return Optional.empty();
        }
    }

    private static void writeText(String text, ByteBuf out) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, 255);
        out.writeByte(length);
        out.writeBytes(bytes, 0, length);
    }

    private static String readText(ByteBuf in) {
        int length = in.readUnsignedByte();
        return in.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }
}

package org.berylwick.node.member;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import org.berylwick.node.lib.RolloutNotice;
import org.berylwick.node.lib.RolloutPhase;
import org.berylwick.node.lib.RolloutState;
import org.berylwick.node.lib.VersionTally;

/** Encodes and decodes what a node tells of roll-outs, as a part of its state. */
final class RolloutNoticeCodec {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** The states of more roll-outs would not fit into a datagram. */
    private static final int MAX_STATES = 16;

    private RolloutNoticeCodec() {}

    /** Encodes a notice; points in time are sent as the time left, since clocks differ between nodes. */
    static void encode(RolloutNotice notice, long now, ByteBuf out) {
        NodeStateCodec.writeString(notice.softwareVersion(), out);
        List<RolloutState> states =
                notice.states().subList(0, Math.min(MAX_STATES, notice.states().size()));
        out.writeByte(states.size());
        if (states.isEmpty()) {
            return;
        }
        out.writeInt((int) notice.tally().responses());
        out.writeInt((int) notice.tally().failures());
        out.writeInt((int) notice.tally().slow());
        for (RolloutState state : states) {
            NodeStateCodec.writeString(state.service(), out);
            NodeStateCodec.writeString(state.version(), out);
            out.writeLong(state.order());
            out.writeByte(state.phase().ordinal());
            out.writeInt(millisUntil(state.rampAt(), now));
            out.writeInt(millisUntil(state.deadlineAt(), now));
        }
    }

    private static int millisUntil(long at, long now) {
        long millis = (at - now) / NANOS_PER_MILLI;
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, millis));
    }

    static RolloutNotice decode(ByteBuf in, long now) {
        String softwareVersion = NodeStateCodec.readString(in);
        int count = in.readUnsignedByte();
        if (count == 0) {
            return new RolloutNotice(softwareVersion, VersionTally.NONE, List.of());
        }
        VersionTally tally = new VersionTally(in.readUnsignedInt(), in.readUnsignedInt(), in.readUnsignedInt());
        List<RolloutState> states = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            states.add(new RolloutState(
                    NodeStateCodec.readString(in),
                    NodeStateCodec.readString(in),
                    in.readLong(),
                    RolloutPhase.fromOrdinal(in.readUnsignedByte()),
                    now + in.readInt() * NANOS_PER_MILLI,
                    now + in.readInt() * NANOS_PER_MILLI));
        }
        return new RolloutNotice(softwareVersion, tally, states);
    }
}

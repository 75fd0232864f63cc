package org.berylwick.node.member;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestFingerprint;
import org.berylwick.node.lib.RolloutNotice;
import org.berylwick.node.lib.RolloutPhase;
import org.berylwick.node.lib.RolloutState;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.lib.VersionTally;
import org.berylwick.node.quarantine.SuspectReportCodec;
import org.berylwick.node.quota.QuotaCodec;
import org.berylwick.node.quota.QuotaMessage;
import org.berylwick.node.version.VersionDeltaCodec;

/** Datagrams and deltas of which some bytes are changed or missing: an exception would be one on the event loop. */
class DamagedDatagramTest {
    private static final int MAGIC_BYTES = Integer.BYTES;

    private static List<ByteBuf> quotaMessages() {
        List<ByteBuf> encoded = new ArrayList<>();
        for (QuotaMessage message : List.of(
                new QuotaMessage.Ask(1, 2, "one", 3, 4),
                new QuotaMessage.Answer(1, "one", 2, 3, 4, 5),
                new QuotaMessage.NotServer(1, "one", "10.0.0.1"),
                new QuotaMessage.Return(1, 2, "one", 3),
                new QuotaMessage.Beat(1, Map.of("10.0.0.1", 2L)))) {
            ByteBuf buffer = Unpooled.buffer();
            QuotaCodec.encode(message, buffer);
            encoded.add(buffer);
        }
        return encoded;
    }

    private static ByteBuf state() {
        RolloutState rollout = new RolloutState("s", "v2", 5, RolloutPhase.RAMP, 6, 7);
        NodeState state = new NodeState(
                1,
                1,
                "zone",
                100,
                1,
                true,
                false,
                "service",
                "i-1",
                BackendState.READY,
                0,
                new OwnerLoad(1, 1, 8, 5_000, 0, 0, 0, 1_000, 1_000_000),
                List.of(),
                new RolloutNotice("v2", new VersionTally(1, 2, 3), List.of(rollout)));
        ByteBuf buffer = Unpooled.buffer();
        NodeStateCodec.encode(
                new NodeStateCodec.Message(
                        state,
                        true,
                        List.of("10.0.0.1", "10.0.0.2"),
                        3,
                        Optional.of(new FormerBackend("i-0", BackendState.DRAINING))),
                buffer);
        return buffer;
    }

    private static ByteBuf damaged(ByteBuf original, Random random) {
        byte[] bytes = new byte[original.readableBytes()];
        original.getBytes(0, bytes);
        for (int i = random.nextInt(4); i >= 0; i--) {
            bytes[MAGIC_BYTES + random.nextInt(bytes.length - MAGIC_BYTES)] = (byte) random.nextInt();
        }
        int length = random.nextBoolean() ? bytes.length : MAGIC_BYTES + random.nextInt(bytes.length - MAGIC_BYTES);
        return Unpooled.wrappedBuffer(bytes, 0, length);
    }

    @Property(tries = 5_000, seed = "68")
    void damagedDatagramsAreDecodedOrIgnored(@ForAll long seed) {
        Random random = new Random(seed);
        NodeStateCodec.decode(damaged(state(), random));
        for (ByteBuf message : quotaMessages()) {
            QuotaCodec.decode(damaged(message, random).skipBytes(MAGIC_BYTES));
        }
        ByteBuf reports = Unpooled.buffer();
        RequestFingerprint request = new RequestFingerprint(1, 2);
        SuspectReportCodec.encode(
                List.of(new SuspectReport.Completed(request, 1), new SuspectReport.Crashed(request, 1, 2, 3)),
                4,
                reports);
        SuspectReportCodec.decode(damaged(reports, random).skipBytes(MAGIC_BYTES), 5);
        ByteBuf inquiry = Unpooled.buffer();
        EntryInquiryCodec.encode(new EntryInquiryCodec.Message.Reply(1, List.of("i-1", "i-2")), inquiry);
        EntryInquiryCodec.decode(damaged(inquiry, random).skipBytes(MAGIC_BYTES));
    }

    @Property(tries = 5_000, seed = "68")
    void arbitraryBytesAreDecodedOrIgnored(@ForAll byte[] bytes) {
        QuotaCodec.decode(Unpooled.wrappedBuffer(bytes));
        SuspectReportCodec.decode(Unpooled.wrappedBuffer(bytes), 5);
        EntryInquiryCodec.decode(Unpooled.wrappedBuffer(bytes));
        VersionDeltaCodec.decode(new byte[100], bytes);
    }

    @Property(tries = 2_000, seed = "68")
    void damagedDeltaIsRefusedOrDecoded(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] base = new byte[2_000];
        random.nextBytes(base);
        byte[] target = base.clone();
        target[random.nextInt(target.length)]++;
        byte[] delta = VersionDeltaCodec.encode(base, target);
        delta[random.nextInt(delta.length)] = (byte) random.nextInt();
        VersionDeltaCodec.decode(base, delta);
    }
}

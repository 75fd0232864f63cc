package org.berylwick.node.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.ServiceTimeDistribution;

/** A datagram is read as it was written; anything else is no datagram, whatever its bytes. */
class NodeStateCodecTest {
    @Property(tries = 200)
    void readsWhatWasWritten(
            @ForAll long boot,
            @ForAll long version,
            @ForAll boolean flag,
            @ForAll BackendState state,
            @ForAll @IntRange(max = 60_000) int load,
            @ForAll @AlphaChars @StringLength(max = 40) String text) {
        NodeState told = new NodeState(
                boot,
                7,
                text,
                load,
                version,
                flag,
                !flag,
                text,
                text,
                state,
                3_000_000L,
                new OwnerLoad(load, load, load, 5_000L, load, load * 1_000_000L, load * 1_000_000L),
                List.of(
                        new ServiceTimeDistribution(
                                new RequestClass(RouteKind.NON_IDEMPOTENT, 3, load), 1_000L * (load + 1), 0.25),
                        new ServiceTimeDistribution(new RequestClass(RouteKind.BULK, 0, 100), 7_000L, 0.5)));
        NodeStateCodec.Message message = new NodeStateCodec.Message(told, flag, List.of("10.0.0.1", "10.0.0.2"));
        ByteBuf bytes = Unpooled.buffer();
        NodeStateCodec.write(message, bytes);
        assertEquals(Optional.of(message), NodeStateCodec.read(bytes));
    }

    @Property(tries = 500)
    void anythingElseIsNoDatagram(@ForAll byte[] bytes, @ForAll @IntRange(max = 200) int cutTo) {
        NodeStateCodec.read(Unpooled.wrappedBuffer(bytes));
        NodeState state = new NodeState(
                1, 1, "zone", 100, 1, true, false, "service", "i-1", BackendState.READY, 0, OwnerLoad.NONE, List.of());
        ByteBuf whole = Unpooled.buffer();
        NodeStateCodec.write(new NodeStateCodec.Message(state, false, List.of("10.0.0.1")), whole);
        if (cutTo < whole.readableBytes()) {
            assertTrue(NodeStateCodec.read(whole.slice(0, cutTo)).isEmpty());
        }
    }
}

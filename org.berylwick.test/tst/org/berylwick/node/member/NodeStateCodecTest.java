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

/**
 * Tests that an encoded datagram is decoded to the same content, that a truncated one is rejected, and that arbitrary
 * bytes cause no exception.
 */
class NodeStateCodecTest {
    @Property(tries = 200)
    void decodesWhatWasEncoded(
            @ForAll long bootId,
            @ForAll long version,
            @ForAll boolean flag,
            @ForAll BackendState backendState,
            @ForAll @IntRange(max = 60_000) int number,
            @ForAll int checksum,
            @ForAll @AlphaChars @StringLength(max = 40) String text) {
        NodeState state = new NodeState(
                bootId,
                7,
                text,
                number,
                version,
                flag,
                !flag,
                text,
                text,
                backendState,
                3_000_000L,
                new OwnerLoad(
                        number,
                        number,
                        number,
                        5_000L,
                        number,
                        number * 1_000_000L,
                        number * 1_000_000L,
                        number * 1_000L,
                        number * 1_000_000L),
                List.of(
                        new ServiceTimeDistribution(
                                new RequestClass(RouteKind.NON_IDEMPOTENT, 3, number), 1_000L * (number + 1), 0.25),
                        new ServiceTimeDistribution(new RequestClass(RouteKind.BULK, 0, 100), 7_000L, 0.5, true)));
        Optional<FormerBackend> formerBackend =
                flag ? Optional.of(new FormerBackend(text, backendState)) : Optional.empty();
        NodeStateCodec.Message message =
                new NodeStateCodec.Message(state, !flag, List.of("10.0.0.1", "10.0.0.2"), checksum, formerBackend);
        ByteBuf encoded = Unpooled.buffer();
        NodeStateCodec.encode(message, encoded);
        assertEquals(Optional.of(message), NodeStateCodec.decode(encoded));
    }

    /**
     * Guards against a text in a damaged datagram that is taken for a host name: it is resolved on the event loop,
     * which blocks for seconds in each round of gossip, and passed on to other nodes.
     */
    @Property(tries = 500, seed = "68")
    void onlyAddressesOfPeersAreDecoded(@ForAll @StringLength(max = 40) String text) {
        NodeState state = new NodeState(
                1, 1, "zone", 100, 1, true, false, "service", "i-1", BackendState.READY, 0, OwnerLoad.NONE, List.of());
        ByteBuf encoded = Unpooled.buffer();
        NodeStateCodec.encode(
                new NodeStateCodec.Message(
                        state, false, List.of("10.0.0.1", text, "localhost", "10.0.0.256", "", "10.0.0.2"), 0),
                encoded);
        assertEquals(
                List.of("10.0.0.1", "10.0.0.2"),
                NodeStateCodec.decode(encoded).orElseThrow().peerAddresses());
    }

    @Property(tries = 500)
    void invalidOrTruncatedDatagramIsRejected(@ForAll byte[] bytes, @ForAll @IntRange(max = 200) int truncatedLength) {
        NodeStateCodec.decode(Unpooled.wrappedBuffer(bytes));
        NodeState state = new NodeState(
                1, 1, "zone", 100, 1, true, false, "service", "i-1", BackendState.READY, 0, OwnerLoad.NONE, List.of());
        ByteBuf encoded = Unpooled.buffer();
        NodeStateCodec.encode(new NodeStateCodec.Message(state, false, List.of("10.0.0.1"), 0), encoded);
        if (truncatedLength < encoded.readableBytes()) {
            assertTrue(NodeStateCodec.decode(encoded.slice(0, truncatedLength)).isEmpty());
        }
    }
}

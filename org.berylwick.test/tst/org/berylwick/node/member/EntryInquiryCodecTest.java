package org.berylwick.node.member;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/** Tests that datagrams arrive as they were sent, and that damaged ones are ignored. */
class EntryInquiryCodecTest {
    private static ByteBuf encoded(EntryInquiryCodec.Message message) {
        ByteBuf datagram = Unpooled.buffer();
        EntryInquiryCodec.encode(message, datagram);
        return datagram.skipBytes(Integer.BYTES);
    }

    @Property(tries = 200)
    void messagesArriveAsSent(
            @ForAll long bootId,
            @ForAll @AlphaChars @StringLength(max = 60) String vmName,
            @ForAll @Size(max = 16) List<@AlphaChars @StringLength(max = 40) String> departures) {
        EntryInquiryCodec.Message request = new EntryInquiryCodec.Message.Request(bootId, vmName);
        EntryInquiryCodec.Message reply = new EntryInquiryCodec.Message.Reply(bootId, departures);
        assertEquals(Optional.of(request), EntryInquiryCodec.decode(encoded(request)));
        assertEquals(Optional.of(reply), EntryInquiryCodec.decode(encoded(reply)));
    }

    /** Guards against a shortened list of departures taken for the whole one. */
    @Property(tries = 200)
    void shortenedDatagramIsIgnored(@ForAll @IntRange(max = 20) int length) {
        ByteBuf datagram = encoded(new EntryInquiryCodec.Message.Reply(7, List.of("i-1", "i-22")));
        ByteBuf shortened = datagram.slice(0, Math.min(length, datagram.readableBytes() - 1));
        assertEquals(Optional.empty(), EntryInquiryCodec.decode(shortened));
    }

    @Property(tries = 500)
    void anyBytesAreDecodedWithoutAnError(@ForAll byte[] bytes) {
        EntryInquiryCodec.decode(Unpooled.wrappedBuffer(bytes));
    }
}

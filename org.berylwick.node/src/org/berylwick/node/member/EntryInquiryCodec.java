package org.berylwick.node.member;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Datagrams by which a node has another one read its entry in the directory. */
public final class EntryInquiryCodec {
    /** First four bytes of a datagram. */
    static final int MAGIC = 0x4257_4531;

    private static final int TYPE_REQUEST = 0;
    private static final int TYPE_REPLY = 1;
    private static final int MAX_STRING_BYTES = 255;

    /** The content of a datagram. */
    public sealed interface Message {
        /**
         * Asks to read an entry.
         *
         * @param bootId identifies the run of the process that asks
         * @param vmName name of its VM, the key of the entry
         */
        record Request(long bootId, String vmName) implements Message {}

        /**
         * Answers a request.
         *
         * @param bootId identifies the run of the process that asked
         * @param departures incarnations that have left, from the entry
         */
        record Reply(long bootId, List<String> departures) implements Message {
            public Reply {
                departures = List.copyOf(departures);
            }
        }
    }

    private EntryInquiryCodec() {}

    /** Whether a departure can be encoded whole. */
    static boolean fits(String departure) {
        return departure.getBytes(StandardCharsets.UTF_8).length <= MAX_STRING_BYTES;
    }

    /** Encodes a datagram. */
    public static void encode(Message message, ByteBuf out) {
        out.writeInt(MAGIC);
        switch (message) {
            case Message.Request(long bootId, String vmName) -> {
                out.writeByte(TYPE_REQUEST).writeLong(bootId);
                NodeStateCodec.writeString(vmName, out);
            }
            case Message.Reply(long bootId, List<String> departures) -> {
                out.writeByte(TYPE_REPLY).writeLong(bootId).writeByte(departures.size());
                departures.forEach(departure -> NodeStateCodec.writeString(departure, out));
            }
        }
    }

    /** Decodes a datagram after its first four bytes; empty if the bytes are not a valid datagram. */
    public static Optional<Message> decode(ByteBuf in) {
        try {
            int type = in.readUnsignedByte();
            long bootId = in.readLong();
            return switch (type) {
                case TYPE_REQUEST -> Optional.of(new Message.Request(bootId, NodeStateCodec.readString(in)));
                case TYPE_REPLY -> Optional.of(new Message.Reply(bootId, readDepartures(in)));
                default -> Optional.empty();
            };
        } catch (IndexOutOfBoundsException e) {
            // A truncated datagram is ignored; the request is repeated.
            return Optional.empty();
        }
    }

    private static List<String> readDepartures(ByteBuf in) {
        int count = in.readUnsignedByte();
        List<String> departures = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            departures.add(NodeStateCodec.readString(in));
        }
        return departures;
    }
}

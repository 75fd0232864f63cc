package org.berylwick.node.quota;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Encodes and decodes datagrams about limits. */
public final class QuotaCodec {
    /** First four bytes of such a datagram. */
    public static final int MAGIC = 0x4257_4C31;

    private static final int ASK = 1;
    private static final int ANSWER = 2;
    private static final int NOT_SERVER = 3;
    private static final int RETURN = 4;
    private static final int BEAT = 5;
    private static final int MAX_TEXT_BYTES = 1_024;
    private static final long MAX_WAIT_NANOS = 60_000_000_000L;

    private QuotaCodec() {}

    /** Encodes a datagram. */
    public static void encode(QuotaMessage message, ByteBuf out) {
        out.writeInt(MAGIC);
        switch (message) {
            case QuotaMessage.Ask ask -> {
                out.writeByte(ASK).writeInt(ask.process()).writeLong(ask.number());
                writeText(ask.organisation(), out);
                out.writeInt(ask.wanted()).writeInt(ask.refused());
            }
            case QuotaMessage.Answer answer -> {
                out.writeByte(ANSWER).writeLong(answer.number());
                writeText(answer.organisation(), out);
                out.writeInt(answer.granted());
                out.writeLong(answer.holdNanos()).writeLong(answer.retryNanos()).writeLong(answer.paceNanos());
            }
            case QuotaMessage.NotServer notServer -> {
                out.writeByte(NOT_SERVER).writeLong(notServer.number());
                writeText(notServer.organisation(), out);
                writeText(notServer.server(), out);
            }
            case QuotaMessage.Return returned -> {
                out.writeByte(RETURN).writeInt(returned.process()).writeLong(returned.number());
                writeText(returned.organisation(), out);
                out.writeInt(returned.count());
            }
            case QuotaMessage.Beat beat -> {
                out.writeByte(BEAT)
                        .writeLong(beat.clock())
                        .writeByte(beat.echoes().size());
                beat.echoes().forEach((reader, clock) -> {
                    writeText(reader, out);
                    out.writeLong(clock);
                });
            }
        }
    }

    /** Decodes a datagram after its magic number; empty if it is damaged. */
    public static Optional<QuotaMessage> decode(ByteBuf in) {
        try {
            return Optional.ofNullable(
                    switch (in.readByte()) {
                        case ASK ->
                            new QuotaMessage.Ask(
                                    in.readInt(), in.readLong(), readText(in), readCount(in), readCount(in));
                        case ANSWER ->
                            new QuotaMessage.Answer(
                                    in.readLong(),
                                    readText(in),
                                    readCount(in),
                                    readWait(in),
                                    readWait(in),
                                    readWait(in));
                        case NOT_SERVER -> new QuotaMessage.NotServer(in.readLong(), readText(in), readText(in));
                        case RETURN ->
                            new QuotaMessage.Return(in.readInt(), in.readLong(), readText(in), readCount(in));
                        case BEAT -> readBeat(in);
                        default -> null;
                    });
        } catch (IndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }

    private static QuotaMessage.Beat readBeat(ByteBuf in) {
        long clock = in.readLong();
        int count = in.readUnsignedByte();
        Map<String, Long> echoes = new HashMap<>();
        for (int i = 0; i < count; i++) {
            echoes.put(readText(in), in.readLong());
        }
        return new QuotaMessage.Beat(clock, echoes);
    }

    private static int readCount(ByteBuf in) {
        return Math.max(0, in.readInt());
    }

    private static long readWait(ByteBuf in) {
        return Math.max(0, Math.min(MAX_WAIT_NANOS, in.readLong()));
    }

    private static void writeText(String text, ByteBuf out) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeShort(bytes.length).writeBytes(bytes);
    }

    private static String readText(ByteBuf in) {
        int length = in.readUnsignedShort();
        if (length > MAX_TEXT_BYTES) {
            throw new IndexOutOfBoundsException("text of " + length + " bytes");
        }
        return in.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }
}

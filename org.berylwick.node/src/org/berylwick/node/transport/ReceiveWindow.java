package org.berylwick.node.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import java.util.OptionalInt;

/**
 * Limits the TCP receive window, and so the bytes that one sender may have in flight to this VM.
 *
 * <p>On a narrow link, the default window of the operating system lets every large body queue ahead of small messages.
 * On a wide link the default is kept.
 */
public final class ReceiveWindow {
    /** Bytes in flight per sender, as transfer time over the link; many times the round-trip time. */
    private static final long WINDOW_NANOS = 25_000_000L;

    private static final int MIN_BYTES = 16_384;
    /** From this size on, the default of the operating system is as good. */
    private static final int MAX_BYTES = 131_072;

    private ReceiveWindow() {}

    /** Sets the receive buffer size of the connections that a server accepts, if the link is narrow. */
    public static void limitReceiveBuffer(ServerBootstrap server, IncomingLink link) {
        sizeBytes(link).ifPresent(bytes -> server.option(ChannelOption.SO_RCVBUF, bytes));
    }

    /** Returns the receive buffer size in bytes, empty if the default of the operating system is as good. */
    public static OptionalInt sizeBytes(IncomingLink link) {
        long bytes = link.bytesWithin(WINDOW_NANOS);
        return bytes > 0 && bytes < MAX_BYTES ? OptionalInt.of((int) Math.max(MIN_BYTES, bytes)) : OptionalInt.empty();
    }
}

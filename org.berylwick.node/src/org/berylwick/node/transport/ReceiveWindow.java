package org.berylwick.node.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import java.util.OptionalInt;

/**
 * How much one sender may have on its way to this VM.
 *
 * <p>On a narrow link the system's own window lets each large body queue in front of all that is small; on a wide one
 * it is left as it is.
 */
public final class ReceiveWindow {
    /** What a sender may have on its way, in time over the link; many times what the way there and back takes. */
    private static final long WINDOW_NANOS = 25_000_000L;

    private static final int MIN_BYTES = 16_384;
    /** From here on the system's own choice is as good. */
    private static final int MAX_BYTES = 131_072;

    private ReceiveWindow() {}

    /** Sets it for the connections that a port takes, if the link is narrow. */
    public static void limitReceiveBuffer(ServerBootstrap server, IncomingLink link) {
        sizeBytes(link).ifPresent(bytes -> server.option(ChannelOption.SO_RCVBUF, bytes));
    }

    /** Its bytes, empty if the system's own choice is as good. */
    public static OptionalInt sizeBytes(IncomingLink link) {
        long bytes = link.bytesWithin(WINDOW_NANOS);
        return bytes > 0 && bytes < MAX_BYTES ? OptionalInt.of((int) Math.max(MIN_BYTES, bytes)) : OptionalInt.empty();
    }
}

package org.berylwick.standin.backend;

import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;

/** Writes an unasked answer past the HTTP codec, as a broken server would. */
final class RawAnswer {
    private static final String BODY = "{\"unasked\":true}";

    private RawAnswer() {}

    /** Sends a second answer to {@code requestId}, unless the connection is HTTP/2. */
    static void write(ServiceRequestContext ctx, String requestId) {
        if (ctx.sessionProtocol().isMultiplex()) {
            return;
        }
        String answer = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nx-request-id: " + requestId
                + "\r\ncontent-length: " + BODY.length() + "\r\n\r\n" + BODY;
        Channel channel = ctx.log().partial().channel();
        channel.eventLoop().execute(() -> {
            if (channel.isActive()) {
                channel.pipeline()
                        .firstContext()
                        .writeAndFlush(Unpooled.copiedBuffer(answer, StandardCharsets.US_ASCII));
            }
        });
    }
}

package org.berylwick.node.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the body of a request that arrives in parts. */
class RequestBodyTest {
    private static final int PARTS = 3_000;

    /** Guards against a body that arrives in more parts than are kept apart ending its connection. */
    @Test
    void bodyInThousandsOfPartsIsPassedOnWhole() {
        RequestBody body = RequestBody.incoming(PARTS, IncomingLink.NONE);
        StringBuilder received = new StringBuilder();
        body.subscribe(new RequestBody.Subscriber() {
            @Override
            public void onRequestBodyPart(ByteBuf part) {
                received.append(part.toString(StandardCharsets.ISO_8859_1));
                part.release();
            }

            @Override
            public void onRequestBodyComplete() {}
        });
        StringBuilder sent = new StringBuilder();
        for (int i = 0; i < PARTS; i++) {
            String text = String.valueOf((char) ('a' + i % 26));
            sent.append(text);
            body.addPart(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }
        body.markComplete();
        assertEquals(sent.toString(), received.toString());
        ByteBuf bytes = body.completeBytes().orElseThrow();
        assertEquals(sent.toString(), bytes.toString(StandardCharsets.ISO_8859_1));
        body.release();
        assertTrue(bytes.refCnt() == 0, "bytes are released with the body");
    }
}

package org.berylwick.node;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.Incarnation;
import org.berylwick.node.member.HeartbeatProtocol;

/**
 * Heartbeats with a body of the form {@code PORT SEQUENCE STATE SLOTS SERVICE [VERSION]}; the path is the text of the
 * incarnation.
 */
final class PlainTextHeartbeats implements HeartbeatProtocol {
    @Override
    public DecodeResult decode(String method, String uri, byte[] body) {
        String incarnation = uri.substring(1);
        if ("DELETE".equals(method)) {
            return new DecodeResult.Leave(incarnation);
        }
        String[] fields = new String(body, StandardCharsets.US_ASCII).split(" ");
        return new DecodeResult.Report(new BackendReport(
                Incarnation.parse(incarnation),
                fields[4],
                new InetSocketAddress("127.0.0.1", Integer.parseInt(fields[0])),
                "zone-a",
                Integer.parseInt(fields[3]),
                BackendState.valueOf(fields[2]),
                Long.parseLong(fields[1]),
                0,
                fields.length > 5 ? fields[5] : ""));
    }

    @Override
    public byte[] acknowledgement() {
        return new byte[0];
    }
}

package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.Organisation;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.lib.Route;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.lib.WeightedService;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.testing.Await;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the limit of an organisation with several nodes and their datagrams. */
@Timeout(60)
class QuotaNodesTest {
    private static final int RATE = 10;
    private static final int NODES = 3;

    private static ConfigurationVersion version(long number, double rate) {
        Route route = new Route(
                "member",
                "/member/",
                RouteKind.IDEMPOTENT,
                2_000_000_000L,
                600_000_000L,
                2,
                1,
                List.of(new WeightedService("work", 1)),
                true);
        return NodeRig.version(
                number,
                b -> b.route(NodeRig.HOST, route)
                        .organisation(
                                new Organisation("acme", OrganisationTag.NO_PRIORITY, rate, 5), List.of("key-1")));
    }

    private static String send(NodeRig rig, int node, String id) {
        String request = NodeRig.request("GET", "/member/x", id, 2_000, "");
        return rig.send(node, request.replaceFirst("\r\n", "\r\nx-key: key-1\r\n"));
    }

    private static NodeRig start(RawServer server, double rate) {
        NodeRig rig = new NodeRig();
        rig.configuration.publish(version(5, rate));
        rig.start(1, Optional.of(server));
        rig.start(2, Optional.empty());
        rig.start(3, Optional.empty());
        for (int node = 1; node <= NODES; node++) {
            rig.awaitReady(node);
        }
        rig.awaitMemberKnown("i-1");
        return rig;
    }

    /** Guards against each node granting the whole limit, and against a refusal without a time and a log line. */
    @Test
    void limitHoldsOverAllNodes() throws IOException {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig = start(server, RATE)) {
            Await.until(
                    "first permit", () -> send(rig, 2, "f" + System.nanoTime()).endsWith("ok"), rig::logText);
            int granted = 0;
            long start = System.nanoTime();
            for (int i = 0; System.nanoTime() - start < 3_000_000_000L; i++) {
                String response = send(rig, 1 + i % NODES, "a" + i);
                if (response.endsWith("ok")) {
                    granted++;
                } else {
                    assertTrue(response.startsWith("HTTP/1.1 429") && response.contains("Retry-After"), response);
                }
                NodeRig.sleep(10);
            }
            double seconds = (System.nanoTime() - start) / 1e9;
            assertTrue(granted >= RATE * seconds * 0.8, "granted " + granted + "\n" + rig.logText());
            assertTrue(granted <= RATE * seconds + 5 + 1, "granted " + granted);
            assertTrue(rig.logText().contains("\"name\":\"QUOTA_REFUSED\",\"organisation\":\"acme\""), rig.logText());
            long served = 0;
            for (int node = 1; node <= NODES; node++) {
                served += NodeRig.gauge(rig.node(node), NodeMetricNames.QUOTA_SERVED);
            }
            assertEquals(1, served);
        }
    }

    /** Guards against messages and tasks at installations that limit no organisation. */
    @Test
    void nothingIsAskedWithoutLimit() throws IOException {
        try (RawServer server = new RawServer(NodeRig::respondOk);
                NodeRig rig = start(server, 0)) {
            for (int i = 0; i < 20; i++) {
                String response = send(rig, 1 + i % NODES, "a" + i);
                assertTrue(response.endsWith("ok"), response);
            }
            for (int node = 1; node <= NODES; node++) {
                assertEquals(0, rig.counter(node, NodeMetricNames.QUOTA_PERMITS_ASKED));
            }
        }
    }
}

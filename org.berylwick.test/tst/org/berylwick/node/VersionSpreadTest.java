package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.berylwick.testing.Await;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Versions come to nodes that do not watch the store, at a cost that a narrow link and a slow core can bear. */
@Timeout(60)
class VersionSpreadTest {
    private static final int BURST = 40;
    private static final int GAP_MILLIS = 25;

    private static long inForce(Node node) {
        return value(node, "version.in_force");
    }

    private static long value(Node node, String name) {
        for (String line : node.counters().text().split("\n")) {
            String[] words = line.split("[ :=]+");
            if (words[0].equals(name)) {
                return Long.parseLong(words[1]);
            }
        }
        return 0;
    }

    /** Before, each of the 40 versions of a second was parsed by each node. */
    @Test
    void ofABurstOnlySomeVersionsAreInstalledAndTheLastOneSoon() throws InterruptedException {
        try (NodeRig rig = new NodeRig()) {
            rig.configuration.accept(NodeRig.version(1));
            Node[] nodes = new Node[4];
            for (int i = 1; i <= 3; i++) {
                nodes[i] = rig.start(i, Optional.empty());
            }
            rig.awaitReady(3);
            Await.until("the first version everywhere", () -> inForce(nodes[3]) == 1, rig::logged);
            Thread.sleep(300);
            for (int i = 2; i <= BURST; i++) {
                rig.configuration.accept(NodeRig.version(i));
                Thread.sleep(GAP_MILLIS);
            }
            long before = System.nanoTime();
            for (int i = 1; i <= 3; i++) {
                Node node = nodes[i];
                Await.until("the last version", () -> inForce(node) == BURST, rig::logged);
            }
            long millis = (System.nanoTime() - before) / 1_000_000;
            assertTrue(millis < 1_500, "in force after " + millis + " ms");
            for (int i = 1; i <= 3; i++) {
                long installed = value(nodes[i], "versions.installed");
                assertTrue(installed <= 14, installed + " versions installed at node " + i);
            }
        }
    }

    /** A version is 100 KB here; before, each of them was sent whole. */
    @Test
    void onlyWhatChangedIsSent() {
        try (NodeRig rig = new NodeRig()) {
            rig.configuration.accept(NodeRig.version(1));
            rig.start(1, Optional.empty());
            rig.start(2, Optional.empty());
            Node third = rig.start(3, Optional.empty());
            rig.awaitReady(3);
            for (int i = 2; i <= 6; i++) {
                long number = i;
                rig.configuration.accept(NodeRig.version(number));
                Await.until("version " + number, () -> inForce(third) == number, rig::logged);
            }
            long bytes = value(third, "versions.fetched.bytes");
            assertTrue(bytes > 0 && bytes < 100_000, bytes + " bytes fetched for five versions");
        }
    }
}

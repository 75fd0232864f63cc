package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests how soon a node fetches a version that other nodes have announced once. */
@Timeout(60)
class VersionFetchTest {
    /** Half of the time in which a version must be in force everywhere, as a version takes two hops. */
    private static final long MAX_HOP_MILLIS = 1_000;

    private static void awaitInForceWithinHop(NodeRig rig, long version, long announcedAt) {
        rig.awaitVersion(1, version);
        long millis = (System.nanoTime() - announcedAt) / 1_000_000;
        assertTrue(millis <= MAX_HOP_MILLIS, "version " + version + " in force after " + millis + " ms");
    }

    private static NodeRig rigWithVersionFive() {
        NodeRig rig = new NodeRig();
        rig.configuration.publish(NodeRig.version(5));
        rig.configuration.addUnpublished(NodeRig.version(6));
        rig.configuration.addUnpublished(NodeRig.version(7));
        rig.start(1, Optional.empty());
        rig.awaitReady(1);
        return rig;
    }

    /** Guards against losing the announcement of a version that arrives while an earlier version is being fetched. */
    @Test
    void versionAnnouncedDuringFetchIsFetchedNext() throws IOException {
        try (NodeRig rig = rigWithVersionFive();
                VersionPeer earlier = new VersionPeer(rig, 8, "zone-a");
                VersionPeer later = new VersionPeer(rig, 9, "zone-a")) {
            earlier.hold();
            earlier.announce(6);
            earlier.awaitRequest();
            long announcedAt = System.nanoTime();
            later.announce(7);
            NodeRig.sleep(100);
            earlier.release();
            awaitInForceWithinHop(rig, 7, announcedAt);
        }
    }

    /** Guards against a source that does not respond holding up a version that another node has. */
    @Test
    void silentSourceDoesNotHoldUpVersion() throws IOException {
        try (NodeRig rig = rigWithVersionFive();
                VersionPeer silent = new VersionPeer(rig, 8, "zone-a");
                VersionPeer responsive = new VersionPeer(rig, 9, "zone-a")) {
            silent.hold();
            long announcedAt = System.nanoTime();
            silent.announce(6);
            silent.awaitRequest();
            responsive.announce(6);
            awaitInForceWithinHop(rig, 6, announcedAt);
        }
    }

    /** Guards against waiting for nodes of which none delivers the version, although the store has it. */
    @Test
    void versionIsReadFromStoreIfNoSourceDelivers() throws IOException {
        try (NodeRig rig = rigWithVersionFive();
                VersionPeer first = new VersionPeer(rig, 8, "zone-a");
                VersionPeer second = new VersionPeer(rig, 9, "zone-b")) {
            first.hold();
            second.hold();
            rig.configuration.publishWithoutNotice(NodeRig.version(6));
            long announcedAt = System.nanoTime();
            first.announce(6);
            second.announce(6);
            awaitInForceWithinHop(rig, 6, announcedAt);
        }
    }
}

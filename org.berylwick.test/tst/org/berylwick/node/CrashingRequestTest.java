package org.berylwick.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.berylwick.testing.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Callers repeat a request that crashes each backend server that runs it. */
@Timeout(60)
class CrashingRequestTest {
    private static final int OWNER_COUNT = 4;
    private static final int SLOTS = 4;
    private final NodeRig rig = new NodeRig();
    private final List<RestartedBackend> backends = new ArrayList<>();

    @BeforeEach
    void startNodes() {
        rig.configuration.publish(NodeRig.version(1));
        rig.start(1, Optional.empty());
        for (int node = 2; node <= OWNER_COUNT + 1; node++) {
            rig.start(node, Optional.empty());
            backends.add(new RestartedBackend(rig, node, SLOTS));
        }
        rig.awaitReady(1);
        for (int node = 2; node <= OWNER_COUNT + 1; node++) {
            rig.awaitReady(node);
            rig.awaitMemberKnown("i-" + node + "-0");
        }
    }

    @AfterEach
    void close() {
        backends.forEach(RestartedBackend::close);
        rig.close();
    }

    /** Guards against a log that cannot tell a request that crashes backend servers from backend servers that end. */
    @Test
    void exitsOfBackendServersNameTheRequestTheyHaveInCommon() {
        rig.call(1, "GET", RestartedBackend.CRASHING_PATH, "c1", "");
        rig.call(1, "GET", RestartedBackend.CRASHING_PATH, "c2", "");
        Pattern exit = Pattern.compile("BACKEND_EXITED.*\"requests\":\"\\[(\\w+)]\"");
        Await.until("two exits", () -> exit.matcher(rig.logText()).results().count() >= 2, rig::logText);
        assertEquals(
                1,
                exit.matcher(rig.logText())
                        .results()
                        .map(result -> result.group(1))
                        .distinct()
                        .count());
    }
}

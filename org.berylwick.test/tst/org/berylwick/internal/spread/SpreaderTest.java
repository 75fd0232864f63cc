package org.berylwick.internal.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.berylwick.internal.spread.InMemoryNetwork.Node;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Member;
import org.berylwick.lib.VersionId;
import org.junit.jupiter.api.Test;

/** Tests spreading of versions and membership while daemons, streams and single directions of a link fail. */
class SpreaderTest {
    private static final Duration JOIN_TIME = Duration.ofSeconds(10);
    private static final Duration CONVERGENCE_TIME = Duration.ofSeconds(15);
    private static final Duration LONG_CONVERGENCE_TIME = Duration.ofMinutes(3);

    private final InMemoryNetwork network = new InMemoryNetwork();

    private List<Node> joinedNodes(int count) {
        List<Node> nodes = network.addDaemons(count, 3);
        network.advance(JOIN_TIME);
        assertAllSeeState(nodes, nodes, Member.State.UP);
        return nodes;
    }

    private static void assertAllSeeState(List<Node> observers, List<Node> subjects, Member.State state) {
        for (Node observer : observers) {
            subjects.forEach(subject -> assertEquals(state, InMemoryNetwork.stateSeenBy(observer, subject)));
        }
    }

    private static VersionContent createVersion(VersionId previous) {
        Brand brand = new Brand("one", List.of("one.example"), Labels.EMPTY, Map.of("x-mark", "" + previous.number()));
        Configuration configuration = new Configuration(
                new TreeMap<>(Map.of("one", brand)), new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
        return VersionContent.encode(previous, new AuditEntry("op", "test", "", 0, List.of()), configuration);
    }

    private static VersionId installNewVersion(Node node) {
        VersionContent content = createVersion(node.installed.snapshot().id());
        node.installed.install(content);
        return content.id();
    }

    private static void assertInstalled(List<Node> nodes, VersionId id) {
        nodes.forEach(n -> assertEquals(id, n.installed.snapshot().id()));
    }

    @Test
    void versionAndVersionReportsReachAllMembers() {
        List<Node> nodes = joinedNodes(20);
        VersionId id = installNewVersion(nodes.get(7));
        network.advance(CONVERGENCE_TIME);
        assertInstalled(nodes, id);
        for (Node n : nodes) {
            assertTrue(n.table.view().all().stream().allMatch(m -> m.version() == id.number()));
            assertEquals(nodes.getFirst().table.hashes(), n.table.hashes());
        }
    }

    // Messages from one daemon to another are lost while all other traffic passes, so the stream between them is silent
    // in one direction. Versions must arrive over other streams, and neither daemon may be declared gone, because each
    // still answers all others.
    @Test
    void oneWayCutDelaysNoVersionAndDeclaresNobodyGone() {
        List<Node> nodes = joinedNodes(12);
        network.cutOneWay(nodes.get(3), nodes.get(4));
        network.cutOneWay(nodes.get(0), nodes.get(5));
        VersionId id = installNewVersion(nodes.get(3));
        network.advance(CONVERGENCE_TIME);
        assertInstalled(nodes, id);
        network.advance(LONG_CONVERGENCE_TIME);
        assertAllSeeState(nodes, nodes, Member.State.UP);
    }

    // A process crashes without announcing it. Requests are routed to it until the crash is detected, so all daemons
    // must learn of it within seconds, including those that have no stream to it.
    @Test
    void crashedDaemonIsDeclaredGoneByAll() {
        List<Node> nodes = joinedNodes(12);
        Node crashed = nodes.get(5);
        crashed.running = false;
        network.advance(CONVERGENCE_TIME);
        List<Node> others = nodes.stream().filter(n -> n != crashed).toList();
        assertAllSeeState(others, List.of(crashed), Member.State.GONE);
        assertAllSeeState(others, others, Member.State.UP);
    }

    // A daemon is paused for longer than the suspicion timeout, is declared gone by all, and resumes. It must rejoin
    // with a new incarnation by itself, since no other daemon may raise its incarnation.
    @Test
    void pausedDaemonRejoins() {
        List<Node> nodes = joinedNodes(12);
        Node paused = nodes.get(5);
        paused.running = false;
        network.advance(CONVERGENCE_TIME);
        paused.running = true;
        VersionId id = installNewVersion(nodes.get(1));
        network.advance(LONG_CONVERGENCE_TIME);
        assertAllSeeState(nodes, nodes, Member.State.UP);
        assertInstalled(nodes, id);
    }

    // Half of all daemons crash at the same moment, including peers that would have detected each other's crash.
    @Test
    void simultaneousCrashOfHalfIsDetectedByRest() {
        List<Node> nodes = joinedNodes(20);
        List<Node> crashed =
                nodes.stream().filter(n -> nodes.indexOf(n) % 2 == 1).toList();
        List<Node> others =
                nodes.stream().filter(n -> nodes.indexOf(n) % 2 == 0).toList();
        crashed.forEach(n -> n.running = false);
        VersionId id = installNewVersion(others.getFirst());
        network.advance(LONG_CONVERGENCE_TIME);
        assertAllSeeState(others, crashed, Member.State.GONE);
        assertAllSeeState(others, others, Member.State.UP);
        assertInstalled(others, id);
    }

    // A backend server leaves. Requests routed to it after a few seconds would each be refused, so every daemon must
    // see the leaving state, and must see the member as gone once its process has exited.
    @Test
    void leavingMemberIsSeenByAll() {
        List<Node> nodes = joinedNodes(12);
        Node leaving = nodes.get(4);
        leaving.state = Member.State.LEAVING;
        network.advance(Duration.ofSeconds(2));
        assertAllSeeState(nodes, List.of(leaving), Member.State.LEAVING);
        leaving.spreader.close();
        leaving.running = false;
        network.advance(LONG_CONVERGENCE_TIME);
        List<Node> others = nodes.stream().filter(n -> n != leaving).toList();
        assertAllSeeState(others, List.of(leaving), Member.State.GONE);
    }

    // A network partition separates two groups of daemons for minutes, and the larger group declares the daemons of the
    // smaller one gone. When it heals, these claims are the first records that the smaller group receives about its own
    // daemons. None of them may become gone within the smaller group.
    @Test
    void healedPartitionDeclaresNoLocalMemberGone() {
        List<Node> nodes = joinedNodes(16);
        List<Node> majority = nodes.subList(0, 11);
        List<Node> minority = nodes.subList(11, 16);
        network.partition(majority, minority);
        VersionId id = installNewVersion(majority.getFirst());
        network.advance(LONG_CONVERGENCE_TIME);
        assertAllSeeState(majority, minority, Member.State.GONE);
        network.restoreAll();
        for (int i = 0; i < 600; i++) {
            network.advance(Duration.ofMillis(100));
            for (Node observer : minority) {
                minority.forEach(b -> assertTrue(InMemoryNetwork.stateSeenBy(observer, b) != Member.State.GONE));
            }
        }
        network.advance(LONG_CONVERGENCE_TIME);
        assertAllSeeState(nodes, nodes, Member.State.UP);
        assertInstalled(nodes, id);
    }

    // All messages are lost for a while just after a version is installed, so every notice of it is lost. Heartbeats
    // must recover the version once the network is restored, without any daemon reading the store.
    @Test
    void lostVersionNoticeIsRecoveredByHeartbeat() {
        List<Node> nodes = joinedNodes(8);
        network.partition(nodes, nodes);
        VersionId id = installNewVersion(nodes.getFirst());
        network.advance(Duration.ofSeconds(2));
        network.restoreAll();
        network.advance(CONVERGENCE_TIME);
        assertInstalled(nodes, id);
    }

    // Many new daemons start at once and know only one address. The daemon there admits some immediately and the others
    // later.
    @Test
    void manySimultaneousJoinsCompleteWithinOneMinute() {
        List<Node> nodes = network.addDaemons(80, 6);
        network.advance(Duration.ofSeconds(60));
        assertAllSeeState(nodes, nodes, Member.State.UP);
    }
}

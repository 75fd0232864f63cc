package org.berylwick.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.berylwick.bench.fleet.ChildProcess;
import org.berylwick.bench.fleet.Fleet;
import org.berylwick.bench.fleet.FleetPlan;
import org.berylwick.lib.HostPort;
import org.berylwick.standin.backend.RunLedger;
import org.berylwick.standin.platform.PlatformServer;

/**
 * Daemons as processes of their own; stand-ins and relays in this one, so that they can be failed and asked directly.
 */
final class SoakFleet implements AutoCloseable {
    private static final Pattern BREACH =
            Pattern.compile("\"event\":\"9001\".*\"message\":\"invariant (\\w+) is broken");
    private static final int READS_PER_S = 2_000;
    private static final int WRITES_PER_S = 400;

    private final Fleet fleet = new Fleet();
    private final PlatformServer platform = new PlatformServer(new HostPort("127.0.0.1", 0));
    private final RunLedger ledger = new RunLedger();
    private final Map<String, Long> breaches = new TreeMap<>();
    private final String moreSettings;
    private final List<SoakNode> nodes;

    SoakFleet(FleetPlan plan, String moreSettings) {
        this.moreSettings = moreSettings;
        platform.setRates(READS_PER_S, WRITES_PER_S);
        platform.start();
        nodes = plan.instances().stream()
                .map(i -> new SoakNode(i, platform.address(), ledger))
                .toList();
    }

    /** Starts every daemon and waits until all listen. */
    void start() {
        nodes.forEach(this::launch);
        nodes.forEach(this::awaitListening);
    }

    /** Starts one daemon anew and waits until it listens. */
    void startDaemon(SoakNode node) {
        launch(node);
        awaitListening(node);
    }

    private void launch(SoakNode node) {
        ChildProcess child;
        synchronized (fleet) {
            child = fleet.startDaemon(node.instance(), node.links(), moreSettings);
        }
        child.onLine(this::countBreach);
    }

    private void awaitListening(SoakNode node) {
        fleet.awaitDaemon(node.name());
        Fleet.DaemonAddresses at = fleet.addresses(node.name());
        node.setDaemon(at.peers(), at.callers());
    }

    private void countBreach(String line) {
        Matcher m = BREACH.matcher(line);
        if (m.find()) {
            synchronized (breaches) {
                breaches.merge(m.group(1), 1L, Long::sum);
            }
        }
    }

    /** Lines that daemons logged about each broken invariant. */
    Map<String, Long> breaches() {
        synchronized (breaches) {
            return new TreeMap<>(breaches);
        }
    }

    /** The process of a node's daemon. */
    ChildProcess daemon(SoakNode node) {
        return fleet.daemons().get(node.name());
    }

    /** Where a node's daemon listens. */
    Fleet.DaemonAddresses addresses(SoakNode node) {
        return fleet.addresses(node.name());
    }

    List<SoakNode> nodes() {
        return nodes;
    }

    PlatformServer platform() {
        return platform;
    }

    RunLedger ledger() {
        return ledger;
    }

    /** Waits for a daemon to end by itself. */
    boolean awaitEnd(SoakNode node, Duration timeout) throws InterruptedException {
        return daemon(node).process().waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        fleet.close();
        nodes.forEach(SoakNode::close);
        platform.close();
    }
}

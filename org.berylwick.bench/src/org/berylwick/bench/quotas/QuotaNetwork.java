package org.berylwick.bench.quotas;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.lib.Organisation;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.quota.NodeQuota;
import org.berylwick.node.quota.QuotaFleet;
import org.berylwick.node.quota.QuotaMessage;

/** Nodes whose messages take some time or get lost; one thread only. */
public final class QuotaNetwork {
    /** Time without a message after which a node counts as silent, as the gossip of 80 nodes has it. */
    private static final long SILENCE_NANOS = 7_000_000_000L;

    private static final long NEAR_DELAY_NANOS = 300_000L;
    private static final long FAR_DELAY_NANOS = 900_000L;
    private static final int ZONES = 3;
    private static final int READERS = 2 * ZONES;

    private final VirtualClock clock;
    private final Random random;
    private final int size;
    private final double loss;
    private final Map<String, NodeQuota> quotas = new HashMap<>();
    private final Set<Integer> killed = new HashSet<>();
    private final Set<Integer> minority = new HashSet<>();
    private final Map<String, Long> messages = new HashMap<>();
    private final Counters counters = new Counters();
    private final EventLog log = new EventLog("bench", OutputStream.nullOutputStream());
    private Organisation organisation;
    private long separatedAt = Long.MAX_VALUE;
    private long killedAt = Long.MAX_VALUE;

    /**
     * @param clock runs everything
     * @param size number of nodes
     * @param loss share of messages that get lost
     * @param organisation the organisation that is limited
     * @param seed of the delays and losses
     */
    public QuotaNetwork(VirtualClock clock, int size, double loss, Organisation organisation, long seed) {
        this.clock = clock;
        this.size = size;
        this.loss = loss;
        this.organisation = organisation;
        this.random = new Random(seed);
        for (int i = 0; i < size; i++) {
            start(i);
        }
    }

    /** Ends the process of a node and starts another one at once. */
    public void restart(int node) {
        quota(node).setActive(false);
        start(node);
    }

    /** Starts the process of a node. */
    public void start(int node) {
        killed.remove(node);
        String ip = ip(node);
        NodeQuota quota = new NodeQuota(
                clock,
                fleet(node),
                (to, message) -> send(node, to, message),
                name -> Optional.of(organisation),
                random::nextDouble,
                new Instruments(counters, log));
        quotas.put(ip, quota);
        quota.setActive(true);
    }

    /** Returns the address of a node. */
    public static String ip(int node) {
        return "10.0." + node / 250 + "." + (node % 250 + 1);
    }

    private int number(String ip) {
        String[] parts = ip.split("\\.");
        return Integer.parseInt(parts[2]) * 250 + Integer.parseInt(parts[3]) - 1;
    }

    /** Returns the view that a node has of the others; a killed or separated node is missed after the silence. */
    public QuotaFleet fleet(int node) {
        return new QuotaFleet() {
            @Override
            public String ownIp() {
                return ip(node);
            }

            @Override
            public List<String> readers() {
                List<String> readers = new ArrayList<>();
                for (int i = 0; i < Math.min(READERS, size); i++) {
                    if (isHeard(i)) {
                        readers.add(ip(i));
                    }
                }
                return readers;
            }

            private boolean isHeard(int other) {
                boolean killedLongAgo = killed.contains(other) && clock.now() - killedAt > SILENCE_NANOS;
                boolean apartLongAgo = isApart(node, other) && clock.now() - separatedAt > SILENCE_NANOS;
                return other == node || !killedLongAgo && !apartLongAgo;
            }

            @Override
            public int nodeCount() {
                return size;
            }

            @Override
            public int heardCount() {
                int heard = 0;
                for (int i = 0; i < size; i++) {
                    heard += isHeard(i) ? 1 : 0;
                }
                return heard;
            }

            @Override
            public boolean isNodeCountKnown() {
                return true;
            }
        };
    }

    private boolean isApart(int a, int b) {
        return minority.contains(a) != minority.contains(b);
    }

    private void send(int from, String to, QuotaMessage message) {
        messages.merge(message.getClass().getSimpleName(), 1L, Long::sum);
        int receiver = number(to);
        if (killed.contains(from) || isApart(from, receiver) || random.nextDouble() < loss) {
            return;
        }
        long delay = from % ZONES == receiver % ZONES ? NEAR_DELAY_NANOS : FAR_DELAY_NANOS;
        clock.after((long) (delay * (0.8 + 0.4 * random.nextDouble())), () -> {
            if (!killed.contains(receiver)) {
                quotas.get(to).receive(ip(from), message);
            }
        });
    }

    /** Returns the limits of a node. */
    public NodeQuota quota(int node) {
        return quotas.get(ip(node));
    }

    /** Whether the process of a node runs. */
    public boolean isRunning(int node) {
        return !killed.contains(node);
    }

    /** Returns the node that holds the bucket, empty if none does. */
    public Optional<Integer> server() {
        return quotas.entrySet().stream()
                .filter(entry -> entry.getValue().servedOrganisations() > 0)
                .map(entry -> number(entry.getKey()))
                .filter(this::isRunning)
                .findFirst();
    }

    /** Ends the process of a node. */
    public void kill(int node) {
        killed.add(node);
        killedAt = clock.now();
        quota(node).setActive(false);
    }

    /** Separates some nodes from the others. */
    public void separate(Set<Integer> nodes) {
        minority.addAll(nodes);
        separatedAt = clock.now();
    }

    /** Ends the separation. */
    public void reunite() {
        minority.clear();
    }

    /** Puts another limit in force on all nodes. */
    public void changeLimit(Organisation changed) {
        organisation = changed;
    }

    /** Returns the limit in force. */
    public Organisation organisation() {
        return organisation;
    }

    /** Returns the number of messages by kind. */
    public Map<String, Long> messages() {
        return messages;
    }

    /** Returns the counters of all nodes together. */
    public Counters counters() {
        return counters;
    }

    /** Ends the log. */
    public void close() {
        log.close();
    }
}

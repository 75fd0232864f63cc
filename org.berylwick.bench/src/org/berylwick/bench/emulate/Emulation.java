package org.berylwick.bench.emulate;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.lib.Route;
import org.berylwick.node.lib.WeightedService;
import org.berylwick.node.log.EventLog;

/** Plays the callers of a deployment on its nodes; the same seed gives the same, one thread only. */
public final class Emulation implements AutoCloseable {
    static final String HOST = "any.example";
    static final HeaderNames NAMES = new HeaderNames(
            "id",
            "deadline",
            "signature",
            "target",
            "load",
            "not-run",
            "caller",
            "instance",
            "limit",
            "leaving",
            "x-key",
            "x-organisation");

    /** A hop within a zone, with the processor time that it takes at both ends. */
    private static final long HOP_NANOS = 700_000L;

    private static final double MILLI = 1e6;
    /** Work beyond so many times the mean is not drawn. */
    private static final double MOST_WORK = 8;

    private final VirtualClock clock = new VirtualClock();
    private final Deployment deployment;
    private final double hedgeShare;
    private final Random random;
    private final EventLog log = new EventLog("emulated", OutputStream.nullOutputStream());
    private final Outcomes outcomes = new Outcomes();
    private final List<EmulatedNode> nodes = new ArrayList<>();
    private final Map<String, EmulatedNode> byIp = new HashMap<>();
    private final Map<String, RequestKind> kinds = new HashMap<>();
    private final Map<String, EmulatedRequest> requests = new HashMap<>();
    private final ConfigurationVersion version;
    private double load = 1;
    private Supplier<OrganisationTag> organisations = () -> OrganisationTag.NONE;
    private Predicate<OrganisationTag> returnsAtOnce = organisation -> false;
    private long nextId;
    private long nextPath;

    /**
     * Sets up.
     *
     * @param deployment that is played
     * @param seed of all chance
     */
    public Emulation(Deployment deployment, long seed) {
        this(deployment, seed, 0);
    }

    /**
     * Sets up with hedged requests.
     *
     * @param deployment that is played
     * @param seed of all chance
     * @param hedgeShare extra requests per request
     */
    public Emulation(Deployment deployment, long seed, double hedgeShare) {
        this.deployment = deployment;
        this.hedgeShare = hedgeShare;
        this.random = new Random(seed);
        ConfigurationVersion.Builder builder = new ConfigurationVersion.Builder(1, new byte[0]);
        for (RequestKind kind : deployment.kinds()) {
            kinds.put(kind.name(), kind);
            builder.service(kind.service(), 100);
        }
        for (RequestKind kind : deployment.kinds()) {
            builder.route(
                    HOST,
                    new Route(
                            kind.name(),
                            "/" + kind.name() + "/",
                            kind.kind(),
                            kind.timeoutNanos(),
                            kind.objectiveNanos(),
                            2,
                            kind.priority(),
                            List.of(new WeightedService(kind.service(), 1))));
        }
        this.version = builder.build();
        int number = 0;
        for (Deployment.Server server : deployment.servers()) {
            EmulatedNode node = new EmulatedNode(this, ++number, server, random);
            nodes.add(node);
            byIp.put(node.ip(), node);
        }
        nodes.forEach(EmulatedNode::join);
        for (Deployment.Zone zone : deployment.zones()) {
            for (RequestKind kind : deployment.kinds()) {
                if (kind.perSecond() > 0) {
                    arrive(zone, kind);
                }
            }
        }
    }

    private void arrive(Deployment.Zone zone, RequestKind kind) {
        double rate = kind.perSecond() * zone.callers() * load;
        long gap = (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
        clock.after(gap, () -> {
            arrive(zone, kind);
            List<EmulatedNode> near = nodes.stream()
                    .filter(n -> n.place().zone().equals(zone.name()))
                    .toList();
            List<EmulatedNode> from = near.isEmpty() ? nodes : near;
            new EmulatedCaller(this, from.get(random.nextInt(from.size())), kind, newPath(kind), organisations.get())
                    .send();
        });
    }

    /** Plays so many seconds more. */
    public void run(double seconds) {
        clock.runUntil(clock.now() + (long) (seconds * 1e9));
    }

    /** From now on so many times as many requests come. */
    public void load(double factor) {
        load = factor;
    }

    /** From now on requests belong to the organisations that are supplied, one for each. */
    public void organisations(Supplier<OrganisationTag> supplier) {
        organisations = supplier;
    }

    /** From now on the callers of some organisations return at once after a refusal. */
    public void returnAtOnce(Predicate<OrganisationTag> which) {
        returnsAtOnce = which;
    }

    boolean returnsAtOnce(OrganisationTag organisation) {
        return returnsAtOnce.test(organisation);
    }

    /** From now on all backend servers of a service turn away a part of what they get. */
    public void shed(String service, double share) {
        of(service).forEach(n -> n.server().shed(share));
    }

    /** From now on some backend servers of a service take so many times as long. */
    public void slow(String service, int count, double factor) {
        of(service).stream().limit(count).forEach(n -> n.server().slowDown(factor));
    }

    /**
     * From now on all backend servers are slowed down for fractions of a second.
     *
     * @param stated whether they state their speed
     */
    public void waver(boolean stated) {
        nodes.forEach(n -> n.server().waver(stated));
    }

    /** From now on a part of what the backend servers of a service run takes so many times as long. */
    public void disturb(String service, double share, double factor) {
        of(service).forEach(n -> n.server().disturb(share, factor));
    }

    /** From now on some backend servers of a service state how many requests a second they take. */
    public void limit(String service, int count, double perSecond) {
        of(service).stream().limit(count).forEach(n -> n.server().limit(perSecond));
    }

    /** From now on some backend servers of a service lose a part of their answers. */
    public void lose(String service, int count, double share) {
        of(service).stream().limit(count).forEach(n -> n.server().lose(share));
    }

    /**
     * From now on callers send a request, the same one each time, that ends each backend server that runs it.
     *
     * @param kindName kind of the request
     * @param gapSeconds time between two callers, each of which repeats it as others do
     */
    public void sendCrashing(String kindName, double gapSeconds) {
        EmulatedNode node = nodes.get(random.nextInt(nodes.size()));
        RequestKind kind = kinds.get(kindName);
        new EmulatedCaller(this, node, kind, crashingPath(kind), OrganisationTag.NONE).send();
        clock.after((long) (gapSeconds * 1e9), () -> sendCrashing(kindName, gapSeconds));
    }

    /** Some backend servers of a service leave, or come back. */
    public void away(String service, int count, boolean leaves) {
        of(service).stream().limit(count).forEach(leaves ? EmulatedNode::leave : EmulatedNode::join);
    }

    private List<EmulatedNode> of(String service) {
        return nodes.stream().filter(n -> n.place().service().equals(service)).toList();
    }

    /** What callers got so far. */
    public Outcomes outcomes() {
        return outcomes;
    }

    /** Sum of a counter over all nodes. */
    public long count(String counter) {
        return nodes.stream().mapToLong(n -> n.counters().count(counter)).sum();
    }

    double hedgeShare() {
        return hedgeShare;
    }

    VirtualClock clock() {
        return clock;
    }

    Deployment deployment() {
        return deployment;
    }

    EventLog log() {
        return log;
    }

    ConfigurationVersion version() {
        return version;
    }

    List<EmulatedNode> nodes() {
        return nodes;
    }

    EmulatedNode node(String ip) {
        return byIp.get(ip);
    }

    RequestKind kind(String name) {
        return kinds.get(name);
    }

    EmulatedRequest request(String id) {
        EmulatedRequest request = requests.get(id);
        if (request == null) {
            throw new IllegalStateException("no request " + id);
        }
        return request;
    }

    String add(EmulatedRequest request) {
        String id = "r" + nextId++;
        requests.put(id, request);
        return id;
    }

    /** A path that no other request has. */
    String newPath(RequestKind kind) {
        return "/" + kind.name() + "/" + nextPath++;
    }

    static String crashingPath(RequestKind kind) {
        return "/" + kind.name() + "/crash";
    }

    /** Draws a request of a kind that comes now. */
    String draw(RequestKind kind) {
        return add(new EmulatedRequest(kind, drawWork(kind), drawCall(kind), clock.now(), newPath(kind)));
    }

    /** Its caller has its answer or has gone; what still runs of it ends a little later. */
    void forget(String id) {
        clock.after(5_000_000_000L, () -> requests.remove(id));
    }

    long drawWork(RequestKind kind) {
        RequestKind.Work work = kind.work();
        double normal = random.nextGaussian();
        double factor = Math.exp(work.spread() * normal - work.spread() * work.spread() / 2);
        if (random.nextDouble() < work.tailShare()) {
            factor *= work.tailFactor();
        }
        return (long) (work.meanMillis() * Math.min(MOST_WORK, factor) * MILLI);
    }

    boolean drawCall(RequestKind kind) {
        return kind.calls().map(c -> random.nextDouble() < c.share()).orElse(false);
    }

    long wayNanos(EmulatedNode from, EmulatedNode to) {
        boolean near = from.place().zone().equals(to.place().zone());
        return HOP_NANOS + (near ? 0 : (long) (deployment.zoneMillis() * MILLI));
    }

    long callerWayNanos() {
        return (long) (deployment.callerMillis() * MILLI);
    }

    @Override
    public void close() {
        log.close();
    }
}

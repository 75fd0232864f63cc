package org.berylwick.bench.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.berylwick.bench.fleet.Fleet;
import org.berylwick.bench.fleet.FleetOperator;
import org.berylwick.bench.fleet.FleetPlan;
import org.berylwick.bench.fleet.FleetPlan.Instance;
import org.berylwick.bench.fleet.ProcessUsage;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Place;

/** A small fleet in which it is known which daemon owns a call: each service has one instance. */
final class CallFleet implements AutoCloseable {
    /** The daemon that takes callers' requests. */
    static final Instance ENTRY = instance("entry");

    /** The daemon beside the backend server that answers them. */
    static final Instance OWNER = instance("owner");

    /** A daemon that is started late, as entry. */
    static final Instance FRESH_ENTRY = instance("fresh-entry");

    /** A daemon that is started late, as owner. */
    static final Instance FRESH_OWNER = instance("fresh-owner");

    /** The one brand's host. */
    static final String HOST = "bench.example";

    private static final List<Instance> RUNNING = List.of(ENTRY, OWNER);
    private static final Duration SETTLE = Duration.ofSeconds(30);
    // More than the load ever needs at once: being refused for want of slots is not what is measured.
    private static final int SLOTS = 100;
    private static final String COMMON_DECLARATIONS = """
            [[brand]]
            name = "bench"
            hosts = ["%s"]
            labels = { kind = "bench" }
            headers = { x-theme = "plain" }

            [[policy]]
            name = "reads"
            routes = "kind = read"
            class = "read"
            timeout = "5s"
            max_attempts = 2
            idempotent = true
            """;
    private static final String SERVICE_DECLARATIONS = """

            [[service]]
            name = "%1$s"
            slots = %2$d
            connections = %2$d

            [[route]]
            name = "%1$s"
            labels = { kind = "read" }
            path = "/%1$s"
            service = "%1$s"
            """;

    private final Fleet fleet;
    private final FleetOperator operator;
    private final long version;

    private CallFleet(Fleet fleet, FleetOperator operator, long version) {
        this.fleet = fleet;
        this.operator = operator;
        this.version = version;
    }

    private static Instance instance(String name) {
        return new Instance(name, name, new Place("ncr", "quezon"));
    }

    /**
     * Starts the stand-ins, {@link #ENTRY} and {@link #OWNER}, and waits until they take calls.
     *
     * @param late instances whose daemons are started later by {@link #startFresh}
     * @param serviceMillis how long the backend server takes for a call
     */
    static CallFleet start(List<Instance> late, int serviceMillis) throws InterruptedException {
        List<Instance> all = new ArrayList<>(RUNNING);
        all.addAll(late);
        Fleet fleet = new Fleet();
        try {
            fleet.startPlatform();
            fleet.startBackends(
                    new FleetPlan(all),
                    List.of("--slots", Integer.toString(SLOTS), "--service-time-ms", Integer.toString(serviceMillis)));
            RUNNING.forEach(fleet::startDaemon);
            RUNNING.forEach(i -> fleet.awaitDaemon(i.name()));
            FleetOperator operator =
                    new FleetOperator(fleet.addresses(ENTRY.name()).admin());
            long version = operator.apply("bench.toml", declarations(all));
            operator.awaitInForce(version, List.of(ENTRY.name(), OWNER.name()), SETTLE);
            return new CallFleet(fleet, operator, version);
        } catch (IllegalStateException e) {
            fleet.close();
            throw e;
        }
    }

    private static String declarations(List<Instance> instances) {
        StringBuilder text = new StringBuilder(COMMON_DECLARATIONS.formatted(HOST));
        instances.forEach(i -> text.append(SERVICE_DECLARATIONS.formatted(i.service(), SLOTS)));
        return text.toString();
    }

    /** Starts one more daemon and returns once it is up with the version in force. */
    void startFresh(Instance instance) throws InterruptedException {
        fleet.startDaemon(instance);
        fleet.awaitDaemon(instance.name());
        operator.awaitInForce(version, List.of(instance.name()), SETTLE);
    }

    /** A path straight to an instance's backend server. */
    LoadPath direct(Instance owner) {
        return path(fleet.backend(owner.name()), owner);
    }

    /** A path through the daemon of {@code entry} to the one of {@code owner} and its backend server. */
    LoadPath through(Instance entry, Instance owner) {
        return path(fleet.addresses(entry.name()).callers(), owner);
    }

    /** What a daemon's process has used so far. */
    ProcessUsage usage(Instance instance) {
        return ProcessUsage.of(fleet.daemons().get(instance.name()).process());
    }

    private static LoadPath path(HostPort address, Instance owner) {
        return new LoadPath(address, HOST, "/" + owner.service() + "/1");
    }

    @Override
    public void close() {
        fleet.close();
    }
}

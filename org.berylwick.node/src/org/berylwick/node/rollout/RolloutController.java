package org.berylwick.node.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.berylwick.node.call.Backend;
import org.berylwick.node.call.CallSpec;
import org.berylwick.node.call.Owner;
import org.berylwick.node.call.VersionGate;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.lib.RolloutNotice;
import org.berylwick.node.lib.RolloutPhase;
import org.berylwick.node.lib.RolloutState;
import org.berylwick.node.lib.ServiceTimeDistribution;
import org.berylwick.node.lib.VersionTally;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.member.Member;
import org.berylwick.node.member.MemberTable;

/**
 * Takes part in roll-outs: decides which requests the versions of a service get, judges the version that is rolled out,
 * and tells the operator. Confined to the event loop.
 *
 * <p>Nodes exchange what they know with their states, and each decides for itself. A phase that one of them reaches
 * spreads to all. The nodes that read the store also write the outcome there; the store accepts it from one of them.
 * While a service has one version only, nothing is read or written.
 */
public final class RolloutController implements VersionGate {
    private static final long TICK_NANOS = 250_000_000L;
    /** While a version that may yet turn out bad gets many requests. */
    private static final long TAKE_OVER_TICK_NANOS = 50_000_000L;

    private static final long READ_INTERVAL_NANOS = 1_000_000_000L;
    /** While all versions are known to be good or bad, the orders are only read to notice a new one. */
    private static final long SETTLED_READ_INTERVAL_NANOS = 5_000_000_000L;
    /** Part of an order's time after which a good version begins to take over from the others. */
    private static final double TRIAL_TIME_SHARE = 0.75;

    private final Clock clock;
    private final RolloutOrders orders;
    private final MemberTable members;
    private final Owner owner;
    private final BooleanSupplier isStoreReader;
    private final Runnable onChange;
    private final Instruments instruments;
    private final RolloutTable table = new RolloutTable();
    private final VersionEvidence evidence = new VersionEvidence();
    private Map<String, Map<String, Integer>> serversByVersion = Map.of();
    private Map<String, Map<String, Standing>> standings = Map.of();
    private boolean active;
    private boolean reading;
    private long nextReadAt;

    /**
     * @param clock time source; its tasks run on the event loop
     * @param orders the operator's orders
     * @param members the other nodes
     * @param owner owner of the backend server beside this node
     * @param isStoreReader whether this node reads the store for others
     * @param onChange called when other nodes have to be told
     * @param instruments metrics and event log of this node
     */
    public RolloutController(
            Clock clock,
            RolloutOrders orders,
            MemberTable members,
            Owner owner,
            BooleanSupplier isStoreReader,
            Runnable onChange,
            Instruments instruments) {
        this.clock = clock;
        this.orders = orders;
        this.members = members;
        this.owner = owner;
        this.isStoreReader = isStoreReader;
        this.onChange = onChange;
        this.instruments = instruments;
        owner.setVersionGate(this);
    }

    /** Starts the periodic checks. */
    public void start() {
        tick();
    }

    private void tick() {
        if (active) {
            refresh();
        }
        clock.schedule(clock.now() + (isTakingOver() ? TAKE_OVER_TICK_NANOS : TICK_NANOS), this::tick);
    }

    /** Returns whether the versions of a service differ in which requests they get, or may do so. */
    public boolean isActive(String service) {
        return active && isContested(service, serversByVersion.getOrDefault(service, Map.of()));
    }

    /** Whether a service has several versions, or only one that its order has not found to be good. */
    private boolean isContested(String service, Map<String, Integer> versions) {
        return versions.size() > 1
                || table.latestOrder(service)
                        .filter(order -> versions.containsKey(order.version())
                                && order.phase() != RolloutPhase.SHIFT
                                && order.phase() != RolloutPhase.COMPLETE)
                        .isPresent();
    }

    /** Returns which requests the backend servers of a version get. */
    public Standing standingOf(String service, String version) {
        return standings.getOrDefault(service, Map.of()).getOrDefault(version, Standing.IN_DOUBT);
    }

    /**
     * Returns the share of a service's requests that its version in doubt gets.
     *
     * @param trialShare share until the responses have shown that it is good
     */
    public double shareInDoubt(String service, double trialShare) {
        return table.latestOrder(service)
                .filter(order -> order.phase() == RolloutPhase.RAMP)
                .map(order -> order.rampShare(trialShare, clock.now()))
                .orElse(trialShare);
    }

    @Override
    public boolean admits(Backend server) {
        return !isActive(server.service())
                || standingOf(server.service(), server.softwareVersion()) != Standing.EXCLUDED;
    }

    @Override
    public void onRunEnded(CallSpec call, long nanos, boolean failed) {
        evidence.onResponse(call.requestClass(), nanos, failed);
    }

    /** Returns what this node tells the others. */
    public RolloutNotice notice() {
        String version = owner.backend().map(Backend::softwareVersion).orElse("");
        evidence.onSent();
        return active
                ? new RolloutNotice(version, evidence.tally(), table.all())
                : new RolloutNotice(version, VersionTally.NONE, List.of());
    }

    /** Processes what another node tells. */
    public void onNotice(String service, RolloutNotice notice) {
        boolean changed = false;
        for (RolloutState state : notice.states()) {
            changed |= merge(state, "another node");
        }
        boolean newVersion = !notice.softwareVersion().isEmpty()
                && !serversByVersion.getOrDefault(service, Map.of()).containsKey(notice.softwareVersion());
        if (changed || newVersion) {
            refresh();
        }
    }

    /** Processes a change of the backend server beside this node. */
    public void onBackendChange() {
        refresh();
    }

    private void refresh() {
        serversByVersion = countServers();
        active = serversByVersion.entrySet().stream()
                .anyMatch(service -> isContested(service.getKey(), service.getValue()));
        if (!active) {
            standings = Map.of();
            return;
        }
        for (String service : serversByVersion.keySet()) {
            table.latestOrder(service).ifPresent(this::advance);
        }
        updateStandings();
        long now = clock.now();
        if (!reading && now >= nextReadAt && isStoreReader.getAsBoolean()) {
            reading = true;
            nextReadAt = now + (isSettled() ? SETTLED_READ_INTERVAL_NANOS : READ_INTERVAL_NANOS);
            instruments.counters().increment(NodeMetricNames.ROLLOUT_READS);
            Map<String, Map<String, Integer>> seenBefore = serversByVersion;
            orders.list(result -> {
                reading = false;
                onListed(result, seenBefore);
            });
        }
    }

    private boolean isTakingOver() {
        return active
                && table.all().stream()
                        .anyMatch(state -> state.phase() == RolloutPhase.RAMP || state.phase() == RolloutPhase.SHIFT);
    }

    private boolean isSettled() {
        for (Map.Entry<String, Map<String, Integer>> service : serversByVersion.entrySet()) {
            for (String version : service.getValue().keySet()) {
                Optional<RolloutState> order = table.latestOrder(service.getKey());
                boolean open = order.isPresent()
                        ? !order.get().phase().isFinal()
                        : service.getValue().size() > 1
                                && table.find(service.getKey(), version).isEmpty();
                if (open) {
                    return false;
                }
            }
        }
        return true;
    }

    private void updateStandings() {
        Map<String, Map<String, Standing>> updated = new HashMap<>();
        serversByVersion.forEach((service, versions) -> {
            for (String version : versions.keySet()) {
                updated.computeIfAbsent(service, s -> new HashMap<>())
                        .put(version, table.standingOf(service, version, versions));
            }
        });
        if (!updated.equals(standings)) {
            standings = updated;
            owner.onVersionGateChanged();
        }
    }

    private Map<String, Map<String, Integer>> countServers() {
        Map<String, Map<String, Integer>> counts = new HashMap<>();
        for (Member member : members.all()) {
            if (member.acceptsRequests()) {
                count(counts, member.state().service(), member.state().rollout().softwareVersion());
            }
        }
        owner.backend()
                .filter(server -> server.state() == BackendState.READY)
                .ifPresent(server -> count(counts, server.service(), server.softwareVersion()));
        return counts;
    }

    private static void count(Map<String, Map<String, Integer>> counts, String service, String version) {
        if (!version.isEmpty()) {
            counts.computeIfAbsent(service, s -> new HashMap<>()).merge(version, 1, Integer::sum);
        }
    }

    private boolean merge(RolloutState state, String source) {
        RolloutPhase previous = table.find(state.service(), state.version())
                .map(RolloutState::phase)
                .orElse(RolloutPhase.NOT_ORDERED);
        if (!table.merge(state)) {
            return false;
        }
        if (state.phase() != previous) {
            instruments
                    .log()
                    .write(
                            Event.ROLLOUT_PHASE_CHANGED,
                            "service",
                            state.service(),
                            "version",
                            state.version(),
                            "order",
                            state.order(),
                            "phase",
                            state.phase(),
                            "previous",
                            previous,
                            "why",
                            source);
            updateStandings();
            onChange.run();
        }
        return true;
    }

    /** Counts this node's evidence, and takes the next step of a roll-out if it is due. */
    private void advance(RolloutState order) {
        boolean ownService = owner.backend()
                .filter(server -> server.service().equals(order.service()))
                .isPresent();
        if (ownService && !order.phase().isFinal()) {
            evidence.startOrder(order.order());
            evidence.setUsualTimes(usualTimes(order));
            if (evidence.hasUnsentBad()) {
                onChange.run();
            }
        }
        RolloutProgress.Step step = RolloutProgress.next(order, fleet(order), clock.now());
        // Only the store says that a roll-out is complete, since the old backend servers are stopped on that.
        if (step.phase() != order.phase() && step.phase() != RolloutPhase.COMPLETE) {
            merge(order.in(step.phase()), step.reason());
        }
    }

    private List<List<ServiceTimeDistribution>> usualTimes(RolloutState order) {
        List<List<ServiceTimeDistribution>> times = new ArrayList<>();
        for (Member member : members.all()) {
            if (isOtherVersion(member, order)) {
                times.add(member.state().serviceTimes());
            }
        }
        if (owner.backend()
                .filter(server -> !server.softwareVersion().equals(order.version()))
                .isPresent()) {
            times.add(owner.serviceTimes());
        }
        return times;
    }

    private static boolean isOtherVersion(Member member, RolloutState order) {
        return member.state().service().equals(order.service())
                && !member.state().rollout().softwareVersion().equals(order.version());
    }

    private RolloutProgress.Fleet fleet(RolloutState order) {
        VersionTally target = VersionTally.NONE;
        VersionTally others = VersionTally.NONE;
        long targetSlots = 0;
        long otherSlots = 0;
        boolean othersIdle = true;
        for (Member member : members.all()) {
            if (!member.state().service().equals(order.service())) {
                continue;
            }
            RolloutNotice notice = member.state().rollout();
            long slots = member.acceptsRequests() ? member.state().load().slots() : 0;
            if (isOtherVersion(member, order)) {
                others = others.plus(notice.tally());
                otherSlots += slots;
                othersIdle &= isIdle(notice.states(), member.state().load(), order);
            } else {
                target = target.plus(notice.tally());
                targetSlots += slots;
            }
        }
        Backend own = owner.backend()
                .filter(server -> server.service().equals(order.service()))
                .orElse(null);
        if (own != null && own.softwareVersion().equals(order.version())) {
            target = target.plus(evidence.tally());
            targetSlots += own.slots();
        } else if (own != null) {
            others = others.plus(evidence.tally());
            otherSlots += own.slots();
            othersIdle &= isIdle(table.all(), owner.load(), order);
        }
        return new RolloutProgress.Fleet(target, others, targetSlots, otherSlots, othersIdle);
    }

    /** Whether an owner that knows the given states refuses requests for a roll-out, and runs none. */
    private static boolean isIdle(List<RolloutState> known, OwnerLoad load, RolloutState order) {
        boolean refuses = known.stream()
                .anyMatch(state -> state.service().equals(order.service())
                        && state.version().equals(order.version())
                        && state.order() == order.order()
                        && (state.phase() == RolloutPhase.SHIFT || state.phase() == RolloutPhase.COMPLETE));
        return refuses && load.running() + load.queued() == 0;
    }

    private void onListed(RolloutOrders.ListResult result, Map<String, Map<String, Integer>> seenBefore) {
        switch (result) {
            case RolloutOrders.ListResult.Failed failed ->
                instruments.log().write(Event.STORE_CALL_FAILED, "call", "list roll-outs", "cause", failed.cause());
            case RolloutOrders.ListResult.Listed listed -> {
                instruments.reportUnusable("roll-outs", listed.unusable());
                Set<String> ordered = new HashSet<>();
                // An order that cannot be read may forbid what the lack of an order allows.
                listed.unusable().forEach(entry -> ordered.add(entry.name()));
                for (RolloutOrders.Order order : listed.orders()) {
                    ordered.add(order.service());
                    onOrder(order);
                }
                clearWithoutOrder(seenBefore, ordered, listed.revision());
            }
        }
    }

    /** Versions that were there before the orders were read, and that no order has ever named, are all in use. */
    private void clearWithoutOrder(
            Map<String, Map<String, Integer>> seenBefore, Set<String> ordered, long readRevision) {
        seenBefore.forEach((service, versions) -> {
            if (ordered.contains(service) || table.latestOrder(service).isPresent()) {
                return;
            }
            for (String version : versions.keySet()) {
                if (table.find(service, version).isEmpty()) {
                    merge(
                            new RolloutState(service, version, readRevision, RolloutPhase.NOT_ORDERED, 0, 0),
                            "the store has no order");
                }
            }
        });
    }

    private void onOrder(RolloutOrders.Order order) {
        // Orders for services without backend servers are of no use, and would take the table's room.
        if (!serversByVersion.containsKey(order.service())) {
            return;
        }
        long now = clock.now();
        RolloutPhase told = order.told().orElse(RolloutPhase.TRIAL);
        long number = orderNumber(order);
        merge(
                new RolloutState(
                        order.service(),
                        order.targetVersion(),
                        number,
                        told,
                        now + (long) (TRIAL_TIME_SHARE * order.durationNanos()),
                        now + order.durationNanos()),
                "the operator's order");
        if (told.isFinal()) {
            return;
        }
        table.find(order.service(), order.targetVersion())
                .filter(state -> state.order() == number)
                .ifPresent(state -> tellProgress(order, state, now));
    }

    private void tellProgress(RolloutOrders.Order order, RolloutState state, long now) {
        Optional<RolloutPhase> outcome =
                switch (RolloutProgress.next(state, fleet(state), now).phase()) {
                    case CONDEMNED, ROLLED_BACK -> Optional.of(RolloutPhase.ROLLED_BACK);
                    case COMPLETE -> Optional.of(RolloutPhase.COMPLETE);
                    case TRIAL, RAMP, SHIFT, NOT_ORDERED ->
                        order.told().isPresent() ? Optional.empty() : Optional.of(RolloutPhase.TRIAL);
                };
        outcome.ifPresent(phase -> tell(order, state, phase));
    }

    /** An order that replaces another one in the same object is the later one, although both were created with it. */
    private long orderNumber(RolloutOrders.Order order) {
        return table.latestOrder(order.service())
                .filter(latest ->
                        !latest.version().equals(order.targetVersion()) && latest.order() >= order.createdRevision())
                .map(latest -> latest.order() + 1)
                .or(() -> table.find(order.service(), order.targetVersion())
                        .filter(known -> known.phase() != RolloutPhase.NOT_ORDERED)
                        .map(known -> Math.max(known.order(), order.createdRevision())))
                .orElse(order.createdRevision());
    }

    private void tell(RolloutOrders.Order order, RolloutState state, RolloutPhase phase) {
        instruments.counters().increment(NodeMetricNames.ROLLOUT_WRITES);
        orders.tell(order, phase, written -> {
            if (!written) {
                // Another node has written it, or the store is out; the next read shows which.
                return;
            }
            if (phase.isFinal()) {
                merge(state.in(phase), "written to the store");
            }
        });
    }
}

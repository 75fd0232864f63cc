package org.berylwick.node.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.berylwick.node.lib.RolloutPhase;
import org.berylwick.node.lib.RolloutState;

/**
 * The roll-outs that a node knows of, from the store and from other nodes. Confined to the event loop.
 *
 * <p>States merge to the same result in whatever order and however often they arrive, so that nodes which have the same
 * news agree without a coordinator.
 */
public final class RolloutTable {
    /** Upper bound, far above any real number of versions that are rolled out at the same time. */
    private static final int MAX_STATES = 64;

    private final Map<String, Map<String, RolloutState>> byService = new HashMap<>();
    private int size;

    /** Stores a state unless a more recent one is known; returns whether it was stored. */
    public boolean merge(RolloutState received) {
        Map<String, RolloutState> byVersion = byService.computeIfAbsent(received.service(), s -> new HashMap<>());
        RolloutState known = byVersion.get(received.version());
        if (known != null && !received.supersedes(known) || known == null && size >= MAX_STATES) {
            return false;
        }
        boolean sameOrder = known != null && known.order() == received.order();
        byVersion.put(
                received.version(),
                sameOrder
                        // The node that learned of the order first is closest to the operator's time limit.
                        ? new RolloutState(
                                received.service(),
                                received.version(),
                                received.order(),
                                received.phase(),
                                Math.min(known.rampAt(), received.rampAt()),
                                Math.min(known.deadlineAt(), received.deadlineAt()))
                        : received);
        size += known == null ? 1 : 0;
        return true;
    }

    /** Returns what is known of a version. */
    public Optional<RolloutState> find(String service, String version) {
        return Optional.ofNullable(byService.getOrDefault(service, Map.of()).get(version));
    }

    /** Returns all states. */
    public List<RolloutState> all() {
        List<RolloutState> all = new ArrayList<>(size);
        byService.values().forEach(byVersion -> all.addAll(byVersion.values()));
        return all;
    }

    /** Returns the latest order for a service, empty if the operator has never given one. */
    public Optional<RolloutState> latestOrder(String service) {
        RolloutState latest = null;
        for (RolloutState state : byService.getOrDefault(service, Map.of()).values()) {
            boolean ordered = state.phase() != RolloutPhase.NOT_ORDERED;
            if (ordered && (latest == null || state.order() > latest.order())) {
                latest = state;
            }
        }
        return Optional.ofNullable(latest);
    }

    /**
     * Returns which requests the backend servers of a version get.
     *
     * @param service the service
     * @param version the version
     * @param serversByVersion number of backend servers of each version of the service
     */
    public Standing standingOf(String service, String version, Map<String, Integer> serversByVersion) {
        Optional<RolloutState> order = latestOrder(service);
        Optional<RolloutState> own = find(service, version);
        if (order.isPresent()
                && order.get().version().equals(version)
                && own.filter(state -> state.order() > order.get().order()).isEmpty()) {
            return switch (order.get().phase()) {
                case TRIAL, RAMP -> Standing.IN_DOUBT;
                case SHIFT, COMPLETE, NOT_ORDERED -> Standing.ESTABLISHED;
                case CONDEMNED, ROLLED_BACK -> Standing.EXCLUDED;
            };
        }
        if (own.isPresent()) {
            return switch (own.get().phase()) {
                case CONDEMNED, ROLLED_BACK -> Standing.EXCLUDED;
                default -> whileOrdered(order);
            };
        }
        if (order.isPresent()) {
            return whileOrdered(order);
        }
        return version.equals(mostCommon(serversByVersion)) ? Standing.ESTABLISHED : Standing.IN_DOUBT;
    }

    /** Returns the standing of a version while another one of its service is rolled out. */
    private static Standing whileOrdered(Optional<RolloutState> order) {
        boolean shifted = order.filter(
                        state -> state.phase() == RolloutPhase.SHIFT || state.phase() == RolloutPhase.COMPLETE)
                .isPresent();
        return shifted ? Standing.EXCLUDED : Standing.ESTABLISHED;
    }

    private static String mostCommon(Map<String, Integer> serversByVersion) {
        String mostCommon = "";
        int most = 0;
        for (Map.Entry<String, Integer> entry : serversByVersion.entrySet()) {
            boolean first = entry.getKey().compareTo(mostCommon) < 0;
            if (entry.getValue() > most || entry.getValue() == most && first) {
                mostCommon = entry.getKey();
                most = entry.getValue();
            }
        }
        return mostCommon;
    }
}

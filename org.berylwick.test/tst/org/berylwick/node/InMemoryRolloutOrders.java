package org.berylwick.node;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.berylwick.node.lib.RolloutPhase;
import org.berylwick.node.rollout.RolloutOrders;

/** One order of the operator that the nodes of a test share, with the revisions of a store. */
final class InMemoryRolloutOrders {
    private final List<RolloutPhase> told = new ArrayList<>();
    private Optional<RolloutOrders.Order> order = Optional.empty();
    private long revision = 10;

    /** Orders that the traffic of a service be moved to a version. */
    synchronized void give(String service, String version, double seconds) {
        revision++;
        order = Optional.of(new RolloutOrders.Order(
                service, version, (long) (seconds * 1e9), revision, revision, Optional.empty()));
    }

    /** What the operator has been told, in order. */
    synchronized List<RolloutPhase> told() {
        return List.copyOf(told);
    }

    private synchronized RolloutOrders.ListResult read() {
        return new RolloutOrders.ListResult.Listed(order.stream().toList(), revision);
    }

    private synchronized boolean write(RolloutOrders.Order read, RolloutPhase phase) {
        if (order.filter(o -> o.revision() == read.revision()).isEmpty()) {
            return false;
        }
        revision++;
        told.add(phase);
        order = Optional.of(new RolloutOrders.Order(
                read.service(),
                read.targetVersion(),
                read.durationNanos(),
                read.createdRevision(),
                revision,
                Optional.of(phase)));
        return true;
    }

    /** Returns the orders as seen by the node with the given event loop. */
    RolloutOrders forNode(EventLoop loop) {
        return new RolloutOrders() {
            @Override
            public void list(Consumer<ListResult> onResult) {
                loop.execute(() -> onResult.accept(read()));
            }

            @Override
            public void tell(Order read, RolloutPhase phase, Consumer<Boolean> onResult) {
                loop.execute(() -> onResult.accept(write(read, phase)));
            }
        };
    }
}

package org.berylwick.node.rollout;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.berylwick.node.lib.RolloutPhase;
import org.berylwick.node.lib.UnusableEntry;

/** The operator's orders in the platform's store. Calls are asynchronous; results are delivered on the event loop. */
public interface RolloutOrders {
    /**
     * An order to move the traffic of a service to a version.
     *
     * @param service name of the service, the key of the order
     * @param targetVersion the version
     * @param durationNanos time from the order until the roll-out should be complete
     * @param createdRevision store revision at which the object that holds the order was created
     * @param revision store revision of the last change, which includes changes of the outcome
     * @param told what the operator has been told of this order: {@link RolloutPhase#TRIAL} if it is under way
     */
    record Order(
            String service,
            String targetVersion,
            long durationNanos,
            long createdRevision,
            long revision,
            Optional<RolloutPhase> told) {}

    /** Result of listing the orders. */
    sealed interface ListResult {
        /**
         * The orders.
         *
         * @param orders all valid orders
         * @param revision store revision at which they were read
         * @param unusable entries that are no valid orders; their names are those of services
         */
        record Listed(List<Order> orders, long revision, List<UnusableEntry> unusable) implements ListResult {
            /** Creates a list of which all entries are valid. */
            public Listed(List<Order> orders, long revision) {
                this(orders, revision, List.of());
            }
        }

        /** The store did not respond, or rejected the call. */
        record Failed(String cause) implements ListResult {}
    }

    /** Lists all orders; the result includes every order accepted before the call. */
    void list(Consumer<ListResult> onResult);

    /**
     * Tells the operator how far an order has got, unless the order or what was told has changed since it was read.
     *
     * @param order the order as it was read
     * @param phase {@link RolloutPhase#TRIAL} for an order under way, or a final phase
     * @param onResult receives whether it was written
     */
    void tell(Order order, RolloutPhase phase, Consumer<Boolean> onResult);
}

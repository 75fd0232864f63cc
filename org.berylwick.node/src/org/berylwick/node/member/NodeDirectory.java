package org.berylwick.node.member;

import java.util.List;
import java.util.function.Consumer;
import org.berylwick.node.lib.SuspectReport;

/** Persistent list of all nodes. Calls are asynchronous; results are delivered on the event loop. */
public interface NodeDirectory {
    /** Result of listing the nodes. */
    sealed interface ListResult {
        /**
         * The entries of all nodes.
         *
         * @param addresses addresses of registered nodes; some of these nodes may no longer exist
         * @param crashes crashes of requests that the nodes have recorded
         */
        record Listed(List<String> addresses, List<SuspectReport.Crashed> crashes) implements ListResult {}

        /** The store did not respond, or rejected the call. */
        record Failed(String cause) implements ListResult {}
    }

    /**
     * Registers this node.
     *
     * @param vmName name of its VM, the key of its entry
     * @param ip IP address of its VM
     * @param onResult receives whether the node is registered
     */
    void register(String vmName, String ip, Consumer<Boolean> onResult);

    /**
     * Replaces this node's entry by one that also holds crashes, for nodes that start after all nodes have been lost.
     *
     * @param vmName name of its VM, the key of its entry
     * @param ip IP address of its VM
     * @param crashes the crashes; earlier ones that are not among them are forgotten
     * @param onResult receives whether they are recorded
     */
    void record(String vmName, String ip, List<SuspectReport.Crashed> crashes, Consumer<Boolean> onResult);

    /** Lists the registered nodes. */
    void list(Consumer<ListResult> onResult);
}

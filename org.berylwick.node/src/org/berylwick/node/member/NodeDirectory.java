package org.berylwick.node.member;

import java.util.List;
import java.util.function.Consumer;

/** Persistent list of all nodes. Calls are asynchronous; results are delivered on the event loop. */
public interface NodeDirectory {
    /** Result of listing the nodes. */
    sealed interface ListResult {
        /** Addresses of registered nodes; some of these nodes may no longer exist. */
        record Listed(List<String> addresses) implements ListResult {}

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

    /** Lists the registered nodes. */
    void list(Consumer<ListResult> onResult);
}

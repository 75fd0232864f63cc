package org.berylwick.node.member;

import java.util.List;
import java.util.function.Consumer;

/** The list of nodes that lasts; asynchronous, answers come on the event loop. */
public interface NodeDirectory {
    /** What became of a call. */
    sealed interface ListResult {
        /** Addresses of nodes, some of which may be gone. */
        record Listed(List<String> addresses) implements ListResult {}

        /** The store did not answer, or refused. */
        record Failed(String cause) implements ListResult {}
    }

    /**
     * Enters this node.
     *
     * @param name of its VM
     * @param ip of its VM
     * @param onResult hears whether it is entered
     */
    void register(String name, String ip, Consumer<Boolean> onResult);

    /** Lists the nodes that entered themselves. */
    void list(Consumer<ListResult> onResult);
}

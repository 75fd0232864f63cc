package org.berylwick.node.member;

import java.util.List;
import java.util.function.Consumer;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.lib.UnusableEntry;

/** Persistent list of all nodes. Calls are asynchronous; results are delivered on the event loop. */
public interface NodeDirectory {
    /**
     * What the directory holds of a node, for nodes that start after all processes have been lost.
     *
     * @param vmName name of its VM, the key of the entry
     * @param ip IP address of its VM
     * @param crashes crashes of requests that the node has seen, at most {@link #MAX_CRASHES}
     * @param departures incarnations of its backend server that have left, the latest last, at most
     *     {@link #MAX_DEPARTURES}
     */
    record Entry(String vmName, String ip, List<SuspectReport.Crashed> crashes, List<String> departures) {
        /** Enough for all crashes that a node records. */
        public static final int MAX_CRASHES = 256;
        /** A backend server is replaced too rarely for a late heartbeat of an older one. */
        public static final int MAX_DEPARTURES = 16;

        /** Keeps the last ones of too many crashes or departures, which no node has written. */
        public Entry {
            crashes = last(crashes, MAX_CRASHES);
            departures = last(departures, MAX_DEPARTURES);
        }

        private static <T> List<T> last(List<T> elements, int count) {
            return List.copyOf(elements.subList(Math.max(0, elements.size() - count), elements.size()));
        }
    }

    /** Result of writing an entry. */
    sealed interface WriteResult {
        /** The entry is stored under a new revision. */
        record Written(long revision) implements WriteResult {}

        /** Nothing was written: the directory holds another entry, or another revision of it. */
        record Conflict(Entry stored, long revision) implements WriteResult {}

        /** Nothing was written: the directory holds no entry of this node. */
        record Missing() implements WriteResult {}

        /** The store did not respond, or rejected the call; the entry may have been written, or may be later. */
        record Failed(String cause) implements WriteResult {}
    }

    /** Result of reading the entry of a node. */
    sealed interface ReadResult {
        /** The entry that was stored when the call was made, or a later one. */
        record Found(Entry entry) implements ReadResult {}

        /** The directory holds no entry of the node. */
        record Missing() implements ReadResult {}

        /** The store did not respond, or rejected the call. */
        record Failed(String cause) implements ReadResult {}
    }

    /** Result of listing the nodes. */
    sealed interface ListResult {
        /**
         * The entries of all nodes.
         *
         * @param addresses addresses of registered nodes; some of these nodes may no longer exist
         * @param crashes crashes of requests that the nodes have recorded
         * @param unusable entries without a valid address
         */
        record Listed(List<String> addresses, List<SuspectReport.Crashed> crashes, List<UnusableEntry> unusable)
                implements ListResult {
            /** Creates a list of which all entries are usable. */
            public Listed(List<String> addresses, List<SuspectReport.Crashed> crashes) {
                this(addresses, crashes, List.of());
            }
        }

        /** The store did not respond, or rejected the call. */
        record Failed(String cause) implements ListResult {}
    }

    /**
     * Writes the entry of a node that has none.
     *
     * @param entry the entry
     * @param timeoutMillis time after which the call fails
     * @param onResult receives the result
     */
    void create(Entry entry, long timeoutMillis, Consumer<WriteResult> onResult);

    /**
     * Replaces an entry, if its revision is still the given one.
     *
     * @param entry the new entry
     * @param revision revision of the entry that it replaces
     * @param timeoutMillis time after which the call fails
     * @param onResult receives the result
     */
    void replace(Entry entry, long revision, long timeoutMillis, Consumer<WriteResult> onResult);

    /**
     * Reads the current entry of a node.
     *
     * @param vmName name of its VM
     * @param timeoutMillis time after which the call fails
     * @param onResult receives the result
     */
    void read(String vmName, long timeoutMillis, Consumer<ReadResult> onResult);

    /** Lists the registered nodes. */
    void list(Consumer<ListResult> onResult);
}

package org.berylwick.node.version;

import java.util.function.Consumer;
import org.berylwick.node.lib.MeshVersion;

/** Where accepted versions are kept; asynchronous, answers come on the event loop. */
public interface ConfigurationSource {
    /** What became of a read. */
    sealed interface ReadResult {
        /** The newest version, and the store's revision to watch from. */
        record Found(MeshVersion version, long revision) implements ReadResult {}

        /** Nothing new since the revision that was watched. */
        record Unchanged(long revision) implements ReadResult {}

        /** There is no version yet. */
        record Missing() implements ReadResult {}

        /** What was read is no version that can be installed. */
        record Invalid(String reason) implements ReadResult {}

        /** The store no longer knows what happened since the revision. */
        record HistoryGone() implements ReadResult {}

        /** The store did not answer, or refused. */
        record Failed(String cause) implements ReadResult {}
    }

    /** How new an answer has to be. */
    enum Consistency {
        /** With all that was accepted before it was asked. */
        LINEARIZABLE,
        /** It may be seconds old, at a tenth of the price. */
        STALE_ALLOWED
    }

    /**
     * Reads the newest version.
     *
     * @param consistency of the answer
     * @param onResult gets it
     */
    void read(Consistency consistency, Consumer<ReadResult> onResult);

    /**
     * Waits for a version accepted after a revision.
     *
     * @param revision told by an earlier answer
     * @param maxWaitMillis the longest wait
     * @param onResult gets the answer
     */
    void watch(long revision, long maxWaitMillis, Consumer<ReadResult> onResult);

    /**
     * Reads a version that another node sent.
     *
     * @param encoded its bytes
     * @return {@link ReadResult.Found} or {@link ReadResult.Invalid}
     */
    ReadResult decode(byte[] encoded);
}

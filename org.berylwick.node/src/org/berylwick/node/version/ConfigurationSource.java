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
     * @param freshness of the answer
     * @param onAnswer gets it
     */
    void read(Consistency freshness, Consumer<ReadResult> onAnswer);

    /**
     * Waits for a version accepted after a revision.
     *
     * @param revision told by an earlier answer
     * @param waitMillis the longest wait
     * @param onAnswer gets the answer
     */
    void watch(long revision, long waitMillis, Consumer<ReadResult> onAnswer);

    /**
     * Reads a version that another node sent.
     *
     * @param source its bytes
     * @return {@link ReadResult.Found} or {@link ReadResult.Invalid}
     */
    ReadResult decode(byte[] source);
}

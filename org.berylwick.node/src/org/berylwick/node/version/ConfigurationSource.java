package org.berylwick.node.version;

import java.util.function.Consumer;
import org.berylwick.node.lib.ConfigurationVersion;

/** Where accepted versions are kept; asynchronous, answers come on the event loop. */
public interface ConfigurationSource {
    /** What became of a read. */
    sealed interface Answer {
        /** The newest version, and the store's revision to watch from. */
        record Found(ConfigurationVersion version, long revision) implements Answer {}

        /** Nothing new since the revision that was watched. */
        record Unchanged(long revision) implements Answer {}

        /** There is no version yet. */
        record Missing() implements Answer {}

        /** What was read is no version that can be installed. */
        record Invalid(String why) implements Answer {}

        /** The store no longer knows what happened since the revision. */
        record HistoryGone() implements Answer {}

        /** The store did not answer, or refused. */
        record Failed(String cause) implements Answer {}
    }

    /** How new an answer has to be. */
    enum Freshness {
        /** With all that was accepted before it was asked. */
        NEWEST,
        /** It may be seconds old, at a tenth of the price. */
        RECENT
    }

    /**
     * Reads the newest version.
     *
     * @param freshness of the answer
     * @param onAnswer gets it
     */
    void read(Freshness freshness, Consumer<Answer> onAnswer);

    /**
     * Waits for a version accepted after a revision.
     *
     * @param revision told by an earlier answer
     * @param waitMillis the longest wait
     * @param onAnswer gets the answer
     */
    void watch(long revision, long waitMillis, Consumer<Answer> onAnswer);

    /**
     * Reads a version that another node sent.
     *
     * @param source its bytes
     * @return {@link Answer.Found} or {@link Answer.Invalid}
     */
    Answer decode(byte[] source);
}

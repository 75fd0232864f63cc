package org.berylwick.internal.spread;

/**
 * The figures that spreading works with; all times in milliseconds.
 *
 * @param fanOut streams that a daemon opens; about as many are opened to it
 * @param recordBatchMillis how long changes of membership are gathered before they are sent on
 * @param heartbeatMillis period of heartbeats on a stream
 * @param reportBatchMillis how long version reports are gathered before they are sent on
 * @param suspicionTimeoutMillis how long a suspected member has to refute
 */
public record SpreadTuning(
        int fanOut, long recordBatchMillis, long heartbeatMillis, long reportBatchMillis, long suspicionTimeoutMillis) {
    /** What the settings give when they say nothing. */
    public static final SpreadTuning DEFAULT = new SpreadTuning(3, 20, 1_000, 2_000, 5_000);

    /** A stream that brought nothing for so long is given up. */
    public long silenceTimeoutMillis() {
        return heartbeatMillis * 7 / 2;
    }

    /** Period of probes of a random member. */
    public long probeIntervalMillis() {
        return heartbeatMillis * 5;
    }

    /** Streams that a daemon admits at once. */
    public int maxIncomingStreams() {
        return fanOut * 4 + 8;
    }
}

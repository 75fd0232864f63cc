package org.berylwick.internal.spread;

/**
 * Settings of the spreading of versions and membership between daemons.
 *
 * @param fanOut number of streams that a daemon opens; about as many are opened to it
 * @param recordBatchMillis how long changed member records are batched before they are forwarded
 * @param heartbeatMillis interval between heartbeats on a stream
 * @param reportBatchMillis how long version reports are batched before they are forwarded
 * @param suspicionTimeoutMillis how long a suspected member has to refute the suspicion before it is declared gone
 */
public record SpreadTuning(
        int fanOut, long recordBatchMillis, long heartbeatMillis, long reportBatchMillis, long suspicionTimeoutMillis) {
    /** Values used where the settings file specifies none. */
    public static final SpreadTuning DEFAULT = new SpreadTuning(3, 20, 1_000, 2_000, 5_000);

    /** Returns the time without received messages after which a stream is closed. */
    public long silenceTimeoutMillis() {
        return heartbeatMillis * 7 / 2;
    }

    /** Returns the mean interval between probes of a random member. */
    public long probeIntervalMillis() {
        return heartbeatMillis * 5;
    }

    /** Returns the maximum number of concurrent incoming streams. */
    public int maxIncomingStreams() {
        return fanOut * 4 + 8;
    }
}

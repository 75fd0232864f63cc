package org.berylwick.internal.spread;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** The metrics of spreading. */
public final class SpreadMetrics {
    /** Counter: bytes sent on connections opened to other daemons for control. */
    public static final String PEER_BYTES_SENT = "spread.peer.bytes.sent";

    /** Counter: bytes received on connections opened to other daemons for control. */
    public static final String PEER_BYTES_RECEIVED = "spread.peer.bytes.received";

    /** Counter: streams opened and accepted. */
    public static final String STREAMS_OPENED = "spread.streams.opened";

    /** Counter: streams refused because too many came at once. */
    public static final String STREAMS_REFUSED = "spread.streams.refused";

    /** Counter: events refused because the spreading duty's ring was full. */
    public static final String EVENTS_REFUSED = "spread.events.refused";

    /** Counter: versions taken from peers. */
    public static final String VERSIONS_PULLED = "spread.versions.pulled";

    /** Counter: failed tries to take a version from a peer. */
    public static final String PULLS_FAILED = "spread.pulls.failed";

    /** Counter: members suspected by this daemon's own probes. */
    public static final String SUSPECTED = "membership.suspected";

    /** Counter: suspicions of this daemon that it refuted. */
    public static final String REFUTED = "membership.refuted";

    final Counter streamsOpened;
    final Counter streamsRefused;
    final Counter suspected;
    final Counter refuted;
    private final Counter eventsRefused;
    private final Counter versionsPulled;
    private final Counter pullsFailed;

    /** Registers all. */
    public SpreadMetrics(MetricRegistry registry) {
        streamsOpened = registry.counter(STREAMS_OPENED);
        streamsRefused = registry.counter(STREAMS_REFUSED);
        suspected = registry.counter(SUSPECTED);
        refuted = registry.counter(REFUTED);
        eventsRefused = registry.counter(EVENTS_REFUSED);
        versionsPulled = registry.counter(VERSIONS_PULLED);
        pullsFailed = registry.counter(PULLS_FAILED);
    }

    /** An event found the ring full. */
    public void onEventRefused() {
        eventsRefused.inc();
    }

    /** A version was taken from a peer. */
    public void onVersionPulled() {
        versionsPulled.inc();
    }

    /** A try to take a version from a peer failed. */
    public void onPullFailed() {
        pullsFailed.inc();
    }
}

package org.berylwick.internal.spread;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Metrics of the spreading of versions and membership between daemons. */
public final class SpreadMetrics {
    /** Counter: bytes sent on outgoing control connections to other daemons. */
    public static final String PEER_BYTES_SENT = "spread.peer.bytes.sent";

    /** Counter: bytes received on outgoing control connections to other daemons. */
    public static final String PEER_BYTES_RECEIVED = "spread.peer.bytes.received";

    /**
     * Counter: incoming streams admitted, plus streams of both directions on which the peer identified itself. An
     * incoming stream is thus counted twice.
     */
    public static final String STREAMS_OPENED = "spread.streams.opened";

    /** Counter: incoming streams refused because there were too many or they arrived too fast. */
    public static final String STREAMS_REFUSED = "spread.streams.refused";

    /** Counter: events dropped because an event queue was full. */
    public static final String EVENTS_REFUSED = "spread.events.refused";

    /** Counter: versions fetched from peers and installed. */
    public static final String VERSIONS_PULLED = "spread.versions.pulled";

    /** Counter: failed attempts to fetch a version from a peer. */
    public static final String PULLS_FAILED = "spread.pulls.failed";

    /** Counter: members suspected because probes by this daemon failed. */
    public static final String SUSPECTED = "membership.suspected";

    /** Counter: claims about this daemon that it refuted with a higher incarnation. */
    public static final String REFUTED = "membership.refuted";

    final Counter streamsOpened;
    final Counter streamsRefused;
    final Counter suspected;
    final Counter refuted;
    private final Counter eventsRefused;
    private final Counter versionsPulled;
    private final Counter pullsFailed;

    /** Registers all counters in {@code registry}. */
    public SpreadMetrics(MetricRegistry registry) {
        streamsOpened = registry.counter(STREAMS_OPENED);
        streamsRefused = registry.counter(STREAMS_REFUSED);
        suspected = registry.counter(SUSPECTED);
        refuted = registry.counter(REFUTED);
        eventsRefused = registry.counter(EVENTS_REFUSED);
        versionsPulled = registry.counter(VERSIONS_PULLED);
        pullsFailed = registry.counter(PULLS_FAILED);
    }

    /** Counts an event that was dropped because a queue was full. */
    public void onEventRefused() {
        eventsRefused.inc();
    }

    /** Counts a version that was fetched from a peer and installed. */
    public void onVersionPulled() {
        versionsPulled.inc();
    }

    /** Counts a failed attempt to fetch a version from a peer. */
    public void onPullFailed() {
        pullsFailed.inc();
    }
}

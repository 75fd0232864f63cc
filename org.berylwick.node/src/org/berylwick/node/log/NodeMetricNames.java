package org.berylwick.node.log;

/**
 * Names of the node's metrics; docs/NODE-METRICS.md tells their units. One that ends with a dot begins several names.
 */
public final class NodeMetricNames {
    /** Whole requests read from callers. */
    public static final String ENTRY_REQUESTS = "entry.requests";
    /** Answered with a status below 400. */
    public static final String ENTRY_ANSWERED = "entry.answered";
    /** A backend server's answer of 400 or above, passed on. */
    public static final String ENTRY_ANSWERED_ERRORS = "entry.answered.errors";
    /** Answers too large to be gathered, streamed to their end. */
    public static final String ENTRY_STREAMED = "entry.streamed";
    /** Such answers that broke off. */
    public static final String ENTRY_STREAMS_BROKEN = "entry.streams.broken";
    /** Ended with 502 or 504 of our own; may have run. */
    public static final String ENTRY_FAILED = "entry.failed";
    /** Ended with 503 and when to come back; have not run. */
    public static final String ENTRY_REFUSED = "entry.refused";
    /** Refused because no version is in force here yet. */
    public static final String ENTRY_REFUSED_NO_VERSION = "entry.refused.no_version";
    /** Answered 404: no route matches. */
    public static final String ENTRY_NO_ROUTE = "entry.no_route";
    /** Callers that left before their answer. */
    public static final String ENTRY_ABANDONED = "entry.abandoned";
    /** Malformed or too large requests. */
    public static final String ENTRY_CALLER_FAULTS = "entry.caller_faults";
    /** Repeats for which the budget had no room. */
    public static final String ENTRY_REPEATS_DENIED = "entry.repeats.denied";
    /** Attempts that owners refused, by reason. */
    public static final String ENTRY_REFUSALS_BY_REASON = "entry.refusals.";
    /** Open connections of callers. */
    public static final String ENTRY_CONNECTIONS = "entry.connections";
    /** Requests not answered yet. */
    public static final String ENTRY_PENDING = "entry.pending";
    /** Held by answers that are being gathered. */
    public static final String ENTRY_GATHERED_BYTES = "entry.gathered.bytes";
    /** Whole answers of the backend server here. */
    public static final String OWNER_ANSWERED = "owner.answered";
    /** Sent to the backend server here and not answered whole. */
    public static final String OWNER_LOST = "owner.lost";
    /** Answers to other requests that were dropped. */
    public static final String OWNER_DISCARDED = "owner.discarded";
    /** Requests refused here, by reason. */
    public static final String OWNER_REFUSED_BY_REASON = "owner.refused.";
    /** Running at the backend server here. */
    public static final String OWNER_RUNNING = "owner.running";
    /** Of those running, the ones whose answer has begun: their slot is held until it has ended. */
    public static final String OWNER_ANSWERING = "owner.answering";
    /**
     * Of answers to other nodes, not yet taken by the system: they wait for the link, or for a node that does not read.
     */
    public static final String PEERS_UNSENT_BYTES = "peers.unsent.bytes";
    /** Until all large answers that wait for this VM's outgoing link, or are announced, have left. */
    public static final String LINK_OUTGOING_BUSY_MS = "link.outgoing.busy_ms";
    /** Waiting here for a slot. */
    public static final String OWNER_QUEUED = "owner.queued";
    /** Slots of the backend server here. */
    public static final String OWNER_SLOTS = "owner.slots";
    /** Mean time of its answers. */
    public static final String OWNER_MEAN_US = "owner.mean_us";
    /** Opened to the backend server here since it joined. */
    public static final String OWNER_CONNECTIONS_OPENED = "owner.connections.opened";
    /** Of the backend server here. */
    public static final String HEARTBEATS_ACKNOWLEDGED = "heartbeats.acknowledged";
    /** The version in force here, 0 for none. */
    public static final String VERSION_IN_FORCE = "version.in_force";
    /** Installed since the start. */
    public static final String VERSIONS_INSTALLED = "versions.installed";
    /** Bytes of versions and of what changed in them that other nodes delivered. */
    public static final String VERSIONS_FETCHED_BYTES = "versions.fetched.bytes";
    /** Versions that another node did not deliver. */
    public static final String VERSIONS_FETCH_FAILURES = "versions.fetch_failures";
    /** Reads of the configuration. */
    public static final String STORE_READS = "store.reads";
    /** Watches of the configuration. */
    public static final String STORE_WATCHES = "store.watches";
    /** Of these, not answered or refused. */
    public static final String STORE_FAILURES = "store.failures";
    /** Watches that the store could not go on with. */
    public static final String STORE_HISTORY_GONE = "store.history_gone";
    /** Calls for the list of nodes that failed. */
    public static final String DIRECTORY_FAILURES = "directory.failures";
    /** Other nodes that are not silent. */
    public static final String MEMBERS_HEARD = "members.heard";
    /** Calls to other nodes that failed for a reason of the node or the link. */
    public static final String MEMBERS_SUSPECTED = "members.suspected";
    /** Sent to other nodes. */
    public static final String GOSSIP_SENT_DATAGRAMS = "gossip.sent.datagrams";
    /** In these, without headers of the network. */
    public static final String GOSSIP_SENT_BYTES = "gossip.sent.bytes";
    /** From other nodes. */
    public static final String GOSSIP_RECEIVED_DATAGRAMS = "gossip.received.datagrams";
    /** Of the socket; mostly ports without a listener. */
    public static final String GOSSIP_ERRORS = "gossip.errors";
    /** Dropped because the log's reader stalled. */
    public static final String LOG_LINES_DROPPED = "log.lines.dropped";

    private NodeMetricNames() {}
}

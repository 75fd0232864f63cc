package org.berylwick.node.call;

/** What a node concludes the state of the backend server beside it from; logged with each change. */
public enum BackendEvidence {
    /** It sent a heartbeat. */
    HEARTBEAT,
    /** It answered a health check of this node. */
    HEALTH_CHECK,
    /** It deregistered. */
    DEREGISTRATION,
    /** It stated in a response that it leaves. */
    STATED_IN_RESPONSE,
    /** An earlier process of this node has recorded that it left. */
    RECORD,
    /** Another node has heard of it from an earlier process of this node. */
    OTHER_NODE,
    /** Neither heartbeats nor responses have come from it for some time. */
    SILENCE,
    /** Its VM refuses connections to it. */
    EXIT
}

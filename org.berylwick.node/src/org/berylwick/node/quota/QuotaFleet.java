package org.berylwick.node.quota;

import java.util.List;

/** What a node knows of the other nodes, as far as limits depend on it. */
public interface QuotaFleet {
    /** Returns the address of this node. */
    String ownIp();

    /** Returns the addresses of the nodes that may be quota servers, with this one if it is among them. */
    List<String> readers();

    /** Returns the number of nodes, including this one and those that are silent. */
    int nodeCount();

    /** Returns the number of nodes, including this one, that were heard recently. */
    int heardCount();

    /** Whether the number of nodes is known, because the list of nodes was read since the start. */
    boolean isNodeCountKnown();
}

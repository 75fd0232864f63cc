package org.berylwick.node.call;

import java.util.List;
import java.util.Set;

/** Lists the nodes that may run a request. */
public interface CandidateSource {
    /**
     * Nodes to compare whose backend server serves a service and takes work.
     *
     * @param service that is to run the request
     * @param excludedKeys keys of nodes that failed the request or do not take it
     * @param now in {@link System#nanoTime} terms
     */
    List<Candidate> candidatesFor(String service, Set<String> excludedKeys, long now);
}

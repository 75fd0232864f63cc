package org.berylwick.node.call;

import java.util.List;

/** Lists the nodes that may run a request. */
public interface CandidateSource {
    /** All nodes whose backend server serves a service and takes work. */
    List<Candidate> of(String service, long now);
}

package org.berylwick.node.call;

import java.util.List;
import java.util.Set;

/** Provides the nodes that may run a request. */
public interface CandidateSource {
    /**
     * Returns nodes whose backend server provides a service and accepts requests.
     *
     * @param service name of the service
     * @param excludedKeys keys of nodes that have failed or refused the request
     * @param now current time on the scale of {@link System#nanoTime}
     */
    List<Candidate> candidatesFor(String service, Set<String> excludedKeys, long now);
}

package org.berylwick.node.call;

/** Sends a request to the owner chosen for it. */
public interface AttemptStarter {
    /**
     * Starts an attempt.
     *
     * @param candidate the node chosen
     * @param call the request; its body is duplicated when it is sent
     * @param listener gets the outcome, never before this method has returned
     */
    Attempt start(Candidate candidate, CallSpec call, AttemptListener listener);
}

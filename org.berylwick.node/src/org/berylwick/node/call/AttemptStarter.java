package org.berylwick.node.call;

/** Sends a request to the owner that was chosen. */
public interface AttemptStarter {
    /**
     * Starts an attempt.
     *
     * @param candidate that was chosen
     * @param call the request; its body is duplicated when it is sent
     * @param listener hears what becomes of it, never before this call has returned
     */
    Attempt start(Candidate candidate, CallSpec call, AttemptListener listener);
}

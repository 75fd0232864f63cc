package org.berylwick.node.lib;

/**
 * Names of the HTTP headers exchanged with callers and backend servers.
 *
 * @param requestId id of one attempt of a caller
 * @param deadline remaining time, in milliseconds, that the sender waits for the response
 * @param signature signature of a backend server over the body of its response
 * @param targetInstance incarnation that alone may run the request
 * @param load running, waiting and slots of a backend server, separated by commas
 * @param notExecuted marks an answer to a request that was not run
 * @param callerService service on the VM where the request began
 * @param instance incarnation that answers
 */
public record HeaderNames(
        String requestId,
        String deadline,
        String signature,
        String targetInstance,
        String load,
        String notExecuted,
        String callerService,
        String instance) {}

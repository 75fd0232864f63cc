package org.berylwick.node.lib;

/**
 * Names of the headers that callers and backend servers use.
 *
 * @param requestId id of one attempt of a caller
 * @param deadline milliseconds that the sender will wait
 * @param signature of a backend server's answer over its body
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

package org.berylwick.node.lib;

/**
 * Names of the HTTP headers exchanged with callers and backend servers.
 *
 * @param requestId id of one attempt of a caller
 * @param deadline remaining time, in milliseconds, that the sender waits for the response
 * @param signature signature of a backend server over the body of its response
 * @param targetIncarnation incarnation of the backend server that the request is addressed to; no other may run it
 * @param load number of running and waiting requests and of slots of a backend server, separated by commas
 * @param notExecuted marks a response to a request that was not executed
 * @param callerService service of the VM on which the request originated
 * @param incarnation incarnation of the backend server that responds
 * @param requestLimit requests per second that a backend server accepts from all nodes together, a decimal number
 * @param leaving {@code 1} if a backend server is about to stop
 * @param organisationKey key of the organisation that a caller belongs to; not passed on
 * @param organisation name of the organisation that a request belongs to, for the backend server
 */
public record HeaderNames(
        String requestId,
        String deadline,
        String signature,
        String targetIncarnation,
        String load,
        String notExecuted,
        String callerService,
        String incarnation,
        String requestLimit,
        String leaving,
        String organisationKey,
        String organisation) {}

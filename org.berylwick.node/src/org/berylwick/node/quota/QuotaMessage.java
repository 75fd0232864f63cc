package org.berylwick.node.quota;

import java.util.Map;

/** What nodes send each other about limits. */
public sealed interface QuotaMessage {
    /**
     * A node asks for permits.
     *
     * @param process identifies one run of the sender's process
     * @param number increases with each question and return of the process; a repeated question has the same
     * @param organisation name of the organisation
     * @param wanted number of permits
     * @param refused number of requests that the sender has refused since the latest answer
     */
    record Ask(int process, long number, String organisation, int wanted, int refused) implements QuotaMessage {}

    /**
     * Answer of the quota server.
     *
     * @param number that of the question
     * @param organisation name of the organisation
     * @param granted number of permits, fewer than wanted if the limit is used up
     * @param holdNanos how long the asking node refuses requests by itself once it has used the permits
     * @param retryNanos time after which the first of the requests that the asking node refuses should be sent again
     * @param paceNanos time by which each further one should be sent again later
     */
    record Answer(long number, String organisation, int granted, long holdNanos, long retryNanos, long paceNanos)
            implements QuotaMessage {}

    /**
     * Answer of a node that is not the quota server, or has no majority of readers.
     *
     * @param number that of the question
     * @param organisation name of the organisation
     * @param server the node that it takes for the quota server, empty for none
     */
    record NotServer(long number, String organisation, String server) implements QuotaMessage {}

    /**
     * A node returns permits that it has not used.
     *
     * @param process identifies one run of the sender's process
     * @param number increases with each question and return of the process
     * @param organisation name of the organisation
     * @param count number of permits
     */
    record Return(int process, long number, String organisation, int count) implements QuotaMessage {}

    /**
     * A reader tells the others that it is alive.
     *
     * @param clock steady clock of the sender
     * @param echoes the readers that the sender considers alive, and the latest clock that it received from each
     */
    record Beat(long clock, Map<String, Long> echoes) implements QuotaMessage {
        public Beat {
            echoes = Map.copyOf(echoes);
        }
    }
}

package org.berylwick.node.quota;

import java.util.function.Consumer;
import org.berylwick.node.lib.Organisation;

/** Decides whether an organisation may send another request. Confined to the event loop. */
public interface RequestQuota {
    /** Grants every request; for installations without limits. */
    RequestQuota UNLIMITED = (organisation, onDecision) -> onDecision.accept(new Decision.Granted(Permit.UNLIMITED));

    /** Whether a request may be sent. */
    sealed interface Decision {
        /**
         * The request may be sent.
         *
         * @param permit has to be released if no backend server runs the request
         */
        record Granted(Permit permit) implements Decision {}

        /**
         * The organisation has used up its limit.
         *
         * @param retryAfterNanos time after which a request is expected to be granted
         */
        record Refused(long retryAfterNanos) implements Decision {}
    }

    /** Permission to run one request. */
    interface Permit {
        /** Permit of a request that no limit applies to. */
        Permit UNLIMITED = () -> {};

        /** Returns the permit, because no backend server has run the request and none will. */
        void release();
    }

    /**
     * Requests a permit.
     *
     * @param organisation the organisation that sends the request
     * @param onDecision receives the decision, during this call or later
     */
    void acquire(Organisation organisation, Consumer<Decision> onDecision);
}

package org.berylwick.lib;

/**
 * A backend server with the daemon beside it, as that daemon announces it.
 *
 * @param instance unique name of the pair
 * @param service the service it answers for
 * @param address where the daemon takes calls of other daemons
 * @param place where it runs
 * @param labels of the backend server
 * @param state as last announced, or as others suspect
 * @param incarnation rises with every start of the daemon and every refutation; the higher one wins
 * @param slots requests that the backend server runs at once
 * @param version number of the configuration version in force there when it last spoke
 * @param installedAtEpochMillis when that version came into force there
 */
public record Member(
        String instance,
        String service,
        HostPort address,
        Place place,
        Labels labels,
        State state,
        long incarnation,
        int slots,
        long version,
        long installedAtEpochMillis) {
    /** Whether a member can take requests. */
    public enum State {
        /** Announced, not ready yet. */
        STARTING,
        /** Takes requests. */
        UP,
        /** Did not answer lately; used only when no other is left. */
        SUSPECT,
        /** Finishes what it has, takes nothing new. */
        LEAVING,
        /** Left or given up. */
        GONE
    }

    /** This member in another state. */
    public Member withState(State newState) {
        return new Member(
                instance,
                service,
                address,
                place,
                labels,
                newState,
                incarnation,
                slots,
                version,
                installedAtEpochMillis);
    }

    /** This member with another configuration version in force. */
    public Member withVersion(long number, long atEpochMillis) {
        return new Member(instance, service, address, place, labels, state, incarnation, slots, number, atEpochMillis);
    }
}

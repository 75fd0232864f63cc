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
    /** Far above any real number; a larger one is an error and would attract all requests of the service. */
    private static final int MAX_SLOTS = 100_000;

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

    /**
     * Checks what other processes state.
     *
     * @throws IllegalArgumentException if a component is missing or the number of slots out of range
     */
    public Member {
        if (instance == null
                || service == null
                || address == null
                || place == null
                || labels == null
                || state == null) {
            throw new IllegalArgumentException("a member lacks a component");
        }
        if (slots < 0 || slots > MAX_SLOTS) {
            throw new IllegalArgumentException("a member has " + slots + " slots");
        }
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

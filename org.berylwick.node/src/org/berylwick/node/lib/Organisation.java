package org.berylwick.node.lib;

/**
 * An organisation that sends requests, as a configuration version declares it.
 *
 * @param name its name, which backend servers receive with its requests
 * @param priority priority of its requests, 0 being the highest; {@link OrganisationTag#NO_PRIORITY} to use that of the
 *     route
 * @param ratePerSecond requests per second that it may send through all nodes together, 0 for no limit
 * @param burst requests that it may send at once beyond the rate
 */
public record Organisation(String name, int priority, double ratePerSecond, double burst) {
    public Organisation {
        if (name.isBlank()) {
            throw new IllegalArgumentException("an organisation has no name");
        }
        requireNonNegative(name, "rate", ratePerSecond);
        requireNonNegative(name, "burst", burst);
    }

    private static void requireNonNegative(String name, String field, double value) {
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw new IllegalArgumentException("organisation " + name + " has an invalid " + field + ": " + value);
        }
    }

    /** Whether the number of its requests is limited. */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }

    /** Returns what its requests carry from node to node. */
    public OrganisationTag tag() {
        return new OrganisationTag(name, priority);
    }
}

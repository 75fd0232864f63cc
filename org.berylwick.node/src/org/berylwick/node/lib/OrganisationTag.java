package org.berylwick.node.lib;

/**
 * The organisation that a request belongs to.
 *
 * @param name name of the organisation, empty for a request that belongs to none
 * @param priority priority of its requests, 0 being the highest, or {@link #NO_PRIORITY}
 */
public record OrganisationTag(String name, int priority) {
    /** Priority of an organisation that declares none: that of the route applies. */
    public static final int NO_PRIORITY = -1;

    /** Tag of a request that belongs to no organisation. */
    public static final OrganisationTag NONE = new OrganisationTag("", NO_PRIORITY);

    /** Whether the request belongs to an organisation. */
    public boolean isPresent() {
        return !name.isEmpty();
    }

    /** Returns the priority of a request on a route of the given priority. */
    public int priorityOr(int routePriority) {
        return priority == NO_PRIORITY ? routePriority : priority;
    }
}

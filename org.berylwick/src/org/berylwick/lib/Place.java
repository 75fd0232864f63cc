package org.berylwick.lib;

/**
 * Where a process runs.
 *
 * @param region regions may lose each other for minutes
 * @param availabilityZone within the region
 */
public record Place(String region, String availabilityZone) {}

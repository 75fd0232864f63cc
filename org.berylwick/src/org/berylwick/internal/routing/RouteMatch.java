package org.berylwick.internal.routing;

import org.berylwick.lib.Brand;
import org.berylwick.lib.Policy;
import org.berylwick.lib.Route;
import org.berylwick.lib.ServiceSpec;

/** What a request meets: all of one version. */
public record RouteMatch(Brand brand, Route route, Policy policy, ServiceSpec service) {}

package org.berylwick.internal.routing;

import org.berylwick.lib.Brand;
import org.berylwick.lib.Policy;
import org.berylwick.lib.Route;
import org.berylwick.lib.ServiceSpec;

/** Configuration objects that apply to a request, all from the same configuration version. */
public record RouteMatch(Brand brand, Route route, Policy policy, ServiceSpec service) {}

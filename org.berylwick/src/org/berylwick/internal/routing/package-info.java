/** Finds the route of a request and the member to send it to. */
package org.berylwick.internal.routing;

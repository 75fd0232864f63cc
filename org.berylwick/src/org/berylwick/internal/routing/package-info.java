/** Finds the route of a request and chooses the member that receives it. */
package org.berylwick.internal.routing;

/** Tests of how requests find a member. */
package org.berylwick.internal.routing;

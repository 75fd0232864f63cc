/** Tests of choosing the member that receives a request. */
package org.berylwick.internal.routing;

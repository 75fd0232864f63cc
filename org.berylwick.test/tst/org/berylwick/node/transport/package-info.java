/** Tests of HTTP connections and of the pacing of the link. */
package org.berylwick.node.transport;

/** Tests of connections and of the link. */
package org.berylwick.node.transport;

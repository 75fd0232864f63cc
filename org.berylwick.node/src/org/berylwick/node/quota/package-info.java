/** Limits the requests of an organisation over all nodes together. */
package org.berylwick.node.quota;

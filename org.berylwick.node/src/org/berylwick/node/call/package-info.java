/**
 * Request handling: receiving a request, choosing a node, queueing at the owner and running it on the backend server.
 */
package org.berylwick.node.call;

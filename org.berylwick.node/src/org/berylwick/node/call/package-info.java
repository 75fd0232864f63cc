/**
 * Request handling: receiving a request, choosing a node, queueing at the owner and running it on the backend server.
 *
 * <p>The entry, or entry node, is the node that receives the request from the caller. The owner is the node on the VM
 * of the backend server that runs it; entry and owner may be the same node. An attempt is one try of the entry to have
 * an owner run the request.
 */
package org.berylwick.node.call;

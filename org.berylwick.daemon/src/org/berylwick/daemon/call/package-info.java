/** Forwarding of requests from the entry daemon through the owner daemon to the backend server. */
package org.berylwick.daemon.call;

/**
 * HTTP connections, their pools, request bodies and the pacing of this VM's link. Routing, retry and admission
 * decisions are made elsewhere.
 */
package org.berylwick.node.transport;

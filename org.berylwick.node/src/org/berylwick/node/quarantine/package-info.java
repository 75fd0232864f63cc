/**
 * Requests that crash the backend servers that run them: what nodes know of them and tell each other, and which
 * requests are refused for it.
 */
package org.berylwick.node.quarantine;

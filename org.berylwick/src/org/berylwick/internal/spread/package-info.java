/** How versions and membership spread between daemons: the decisions, free of sockets and threads. */
package org.berylwick.internal.spread;

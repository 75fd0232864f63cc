/** Protocol logic that spreads configuration versions and membership between daemons; uses no sockets or threads. */
package org.berylwick.internal.spread;

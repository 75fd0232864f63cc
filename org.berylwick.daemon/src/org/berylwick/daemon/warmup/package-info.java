/** Runs the call path against itself before the daemon says that it is ready. */
package org.berylwick.daemon.warmup;

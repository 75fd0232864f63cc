/** The operators' command line: one class a command, thin on top of the daemon's operators' service. */
package org.berylwick.pgm;

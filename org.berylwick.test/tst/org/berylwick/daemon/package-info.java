/** Whole daemons in this process, against stand-ins. */
package org.berylwick.daemon;

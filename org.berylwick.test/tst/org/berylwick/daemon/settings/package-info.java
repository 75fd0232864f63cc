/** Tests of the daemon's settings. */
package org.berylwick.daemon.settings;

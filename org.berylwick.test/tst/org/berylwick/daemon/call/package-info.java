/** Tests of the call path, mostly of what callers observe when a daemon, server or connection fails. */
package org.berylwick.daemon.call;

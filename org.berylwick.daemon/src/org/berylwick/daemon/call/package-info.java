/** The path of a request: entry daemon, owner daemon, backend server. */
package org.berylwick.daemon.call;

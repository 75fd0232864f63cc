/** Tests of the call path: what callers see when things fail. */
package org.berylwick.daemon.call;

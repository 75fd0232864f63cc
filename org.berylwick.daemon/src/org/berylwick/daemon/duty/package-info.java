/** Control duties, each with a thread of its own. */
package org.berylwick.daemon.duty;

/** Everything that talks to the platform's object API or to other daemons. */
package org.berylwick.transport;

/** Tests of the operators' service. */
package org.berylwick.daemon.admin;

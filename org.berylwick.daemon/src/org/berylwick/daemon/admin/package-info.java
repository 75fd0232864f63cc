/** The operators' service, metrics and health. */
package org.berylwick.daemon.admin;

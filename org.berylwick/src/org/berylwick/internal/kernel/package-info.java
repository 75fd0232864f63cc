/** The micro-kernel: services that find each other by name, a thread for each duty, bounded rings between them. */
package org.berylwick.internal.kernel;

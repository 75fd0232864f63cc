/** Numbered log events; {@code docs/EVENTS.md} is their catalogue. */
package org.berylwick.internal.event;

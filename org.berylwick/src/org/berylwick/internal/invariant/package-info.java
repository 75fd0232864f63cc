/** What must always hold, asserted inside the running program. */
package org.berylwick.internal.invariant;

/** Decisions about slots and members, measured in a loop over the real classes on a clock of its own. */
package org.berylwick.bench.limits;

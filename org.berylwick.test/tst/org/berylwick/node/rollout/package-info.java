/** Tests of roll-outs, on emulated fleets and by parts. */
package org.berylwick.node.rollout;

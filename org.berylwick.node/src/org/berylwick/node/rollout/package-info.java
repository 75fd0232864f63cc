/**
 * Roll-outs: which version of a service gets which requests, how its responses are judged, and what the operator is
 * told.
 */
package org.berylwick.node.rollout;

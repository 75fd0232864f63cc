/** Membership: which nodes exist, the state of their backend servers, and the gossip that distributes both. */
package org.berylwick.node.member;

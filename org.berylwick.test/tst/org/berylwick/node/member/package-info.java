/** Tests of the state that nodes exchange by gossip. */
package org.berylwick.node.member;

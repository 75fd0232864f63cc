/** Tests of complete nodes: these run in the test process on loopback addresses, against scripted backend servers. */
package org.berylwick.node;

/** Tests of the limit of an organisation over all nodes. */
package org.berylwick.node.quota;

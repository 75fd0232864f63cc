/** Tests of how configuration versions are distributed between nodes. */
package org.berylwick.node.version;

/** Tests of how versions spread. */
package org.berylwick.node.version;

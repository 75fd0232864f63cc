/** Tests of the quarantine for requests that crash backend servers. */
package org.berylwick.node.quarantine;

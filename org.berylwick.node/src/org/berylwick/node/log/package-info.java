/** Structured log lines and metrics, bounded so that they never delay a call. */
package org.berylwick.node.log;

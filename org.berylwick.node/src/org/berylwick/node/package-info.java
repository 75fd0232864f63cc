/**
 * The node: a daemon beside each backend server, small enough for the resources that the backend server's VM can spare.
 */
package org.berylwick.node;

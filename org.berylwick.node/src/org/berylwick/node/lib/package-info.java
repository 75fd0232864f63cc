/** Value types shared by the packages of the node, such as settings, configuration, load and request classes. */
package org.berylwick.node.lib;

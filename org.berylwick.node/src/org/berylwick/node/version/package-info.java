/** Configuration versions: how a node obtains the newest accepted version, installs it and passes it on to others. */
package org.berylwick.node.version;

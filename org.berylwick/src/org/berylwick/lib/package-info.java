/** The nouns of the domain: configuration, versions, members, outcomes. All are immutable. */
package org.berylwick.lib;

/** Tests of the domain's nouns. */
package org.berylwick.lib;

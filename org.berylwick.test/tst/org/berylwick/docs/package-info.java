/** Holds the pages of the documentation against the code. */
package org.berylwick.docs;

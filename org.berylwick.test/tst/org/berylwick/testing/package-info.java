/** Fixtures that tests of several packages use. */
package org.berylwick.testing;

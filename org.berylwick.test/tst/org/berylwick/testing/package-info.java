/** Fixtures that several tests share. */
package org.berylwick.testing;

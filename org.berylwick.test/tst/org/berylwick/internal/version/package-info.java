/** Tests of {@link org.berylwick.internal.version}. */
package org.berylwick.internal.version;

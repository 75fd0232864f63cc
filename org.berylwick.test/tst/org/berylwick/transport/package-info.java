/** Tests of {@link org.berylwick.transport}. */
package org.berylwick.transport;

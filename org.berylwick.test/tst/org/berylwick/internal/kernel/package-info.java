/** Tests of the kernel. */
package org.berylwick.internal.kernel;

/**
 * Command objects: set parameters by chained methods, run once with {@code call()}, and get a sealed result.
 *
 * <p>This is what programs that embed the library use; everything under {@code internal} may change without notice.
 */
package org.berylwick.api;

/** Tests of the warm-up. */
package org.berylwick.daemon.warmup;

/** Names of the metrics; {@code docs/METRICS.md} lists them with their units. */
package org.berylwick.internal.metric;

/** Tests of the decisions about retries and their limits. */
package org.berylwick.internal.retry;

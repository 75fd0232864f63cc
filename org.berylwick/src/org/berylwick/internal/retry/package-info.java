/** Decides whether and when a request is retried, and limits the total number of retries of a daemon. */
package org.berylwick.internal.retry;

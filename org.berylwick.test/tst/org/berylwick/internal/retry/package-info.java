/** Tests of the decisions about retries. */
package org.berylwick.internal.retry;

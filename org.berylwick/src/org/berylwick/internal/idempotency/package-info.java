/**
 * Ensures that of all requests with the same {@code Idempotency-Key} at most one runs: keys are claimed, and the
 * outcome of the request is recorded, in the platform's store.
 */
package org.berylwick.internal.idempotency;

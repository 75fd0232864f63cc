/** Requests that carry an {@code Idempotency-Key} run once in all: the records in the store and who may run. */
package org.berylwick.internal.idempotency;

/** Tests of claims of idempotency keys. */
package org.berylwick.internal.idempotency;

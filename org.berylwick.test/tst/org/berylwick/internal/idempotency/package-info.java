/** Tests of the claiming and settling of idempotency keys. */
package org.berylwick.internal.idempotency;

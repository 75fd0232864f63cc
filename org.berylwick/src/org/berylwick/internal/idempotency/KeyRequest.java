package org.berylwick.internal.idempotency;

import org.berylwick.lib.Digest;

/**
 * A request that wants to be the one that runs under its key.
 *
 * @param key the key in its scope
 * @param fingerprint tells it from other requests that use the same key
 * @param deadlineEpochMillis wall clock by when it has its final answer
 */
public record KeyRequest(KeyId key, Digest fingerprint, long deadlineEpochMillis) {}

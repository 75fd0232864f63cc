package org.berylwick.internal.idempotency;

import org.berylwick.lib.Digest;

/**
 * A request for which a key is to be claimed.
 *
 * @param key the key in its scope
 * @param fingerprint distinguishes the request from other requests that use the same key
 * @param deadlineEpochMillis the wall-clock time by which the request has its final response, in milliseconds since the
 *     epoch
 */
public record KeyRequest(KeyId key, Digest fingerprint, long deadlineEpochMillis) {}

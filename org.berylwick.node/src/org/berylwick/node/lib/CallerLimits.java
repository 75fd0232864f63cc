package org.berylwick.node.lib;

/**
 * Size limits and timeouts for requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the headers of a request
 * @param maxBodyBytes maximum size of the body of a request
 * @param headerTimeoutNanos longest time between the first byte of a request and the end of its headers
 * @param idleTimeoutNanos time after which an idle keep-alive connection is closed
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutNanos, long idleTimeoutNanos) {}

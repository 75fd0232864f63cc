package org.berylwick.lib;

/**
 * A service that backend servers announce themselves for.
 *
 * @param name unique among services
 * @param labels for selection and for people
 * @param slots requests that one backend server runs at once
 * @param connections connections that one backend server accepts
 * @param queueLimit requests that may wait for a slot beside one backend server
 */
public record ServiceSpec(String name, Labels labels, int slots, int connections, int queueLimit) {}

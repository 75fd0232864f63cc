package org.berylwick.node.member;

import org.berylwick.node.lib.BackendState;

/**
 * The backend server beside a node as another node last heard of it from an earlier process of that node.
 *
 * @param incarnation identifies one run of the backend server
 * @param state whether it accepted requests
 */
public record FormerBackend(String incarnation, BackendState state) {}

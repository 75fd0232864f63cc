package org.berylwick.daemon.call;

import java.util.concurrent.CompletableFuture;
import org.berylwick.lib.Outcome;

/**
 * One attempt that is under way.
 *
 * @param outcome completes with the head of the answer or with why there is none; never exceptionally
 * @param cancel gives it up, as far as the backend server; without effect once the outcome is known
 */
record Attempt(CompletableFuture<Outcome<StreamedResponse>> outcome, Runnable cancel) {}

package org.berylwick.daemon.call;

import java.util.concurrent.CompletableFuture;
import org.berylwick.lib.Outcome;

/**
 * An attempt in progress to have a request answered by a backend server.
 *
 * @param outcome completes with the response, as soon as its head has arrived, or with the reason why there is none;
 *     never completes exceptionally
 * @param cancel cancels the attempt on every hop up to the backend server; has no effect once the outcome is known
 */
record Attempt(CompletableFuture<Outcome<StreamedResponse>> outcome, Runnable cancel) {}

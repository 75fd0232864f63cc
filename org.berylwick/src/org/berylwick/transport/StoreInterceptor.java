package org.berylwick.transport;

import java.util.Optional;
import org.berylwick.errors.StoreError;

/**
 * Makes calls of a {@link MemoryStore} fail, each at one of two points.
 *
 * <p>Both methods run on the calling thread without the store's lock, so they may also block to make a call slow, or
 * make calls of their own to stand for what other clients do meanwhile.
 */
public interface StoreInterceptor {
    /** Lets every call through. */
    StoreInterceptor NONE = new StoreInterceptor() {};

    /** Asked before a call takes effect: an error is the call's answer, and the call has no effect. */
    default Optional<StoreError> before(StoreCall call) {
        return Optional.empty();
    }

    /** Asked after a call took effect: an error takes the place of the call's own answer, which is lost. */
    default Optional<StoreError> after(StoreCall call) {
        return Optional.empty();
    }
}

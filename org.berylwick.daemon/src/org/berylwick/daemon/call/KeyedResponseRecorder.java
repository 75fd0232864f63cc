package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.SplitHttpResponse;
import com.linecorp.armeria.common.stream.StreamMessage;
import io.netty.util.AsciiString;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.berylwick.internal.idempotency.KeyState;
import org.berylwick.internal.idempotency.Settlement;
import org.berylwick.internal.idempotency.StoredResponse;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Records the final response to a request with an idempotency key, and settles the claim of the key when the response
 * has ended.
 *
 * <p>At most {@link #MAX_STORED_BYTES} of the body are buffered; the response itself is streamed to the caller
 * unchanged.
 */
final class KeyedResponseRecorder {
    /** Maximum size in bytes of the body, and likewise of all headers, of a response that is stored for repeats. */
    static final int MAX_STORED_BYTES = 8 << 10;

    /** Headers that apply to a single request or connection and are not stored. */
    private static final Set<AsciiString> UNSTORED_HEADERS = Set.of(
            HttpHeaderNames.STATUS,
            HttpHeaderNames.DATE,
            HttpHeaderNames.SERVER,
            HttpHeaderNames.CONTENT_LENGTH,
            CallHeaders.REQUEST_ID);

    private final Consumer<Settlement> onSettlement;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile ResponseHeaders headers;
    private boolean tooLarge;

    /** @param onSettlement called once with the outcome of the request */
    KeyedResponseRecorder(Consumer<Settlement> onSettlement) {
        this.onSettlement = onSettlement;
    }

    /** Returns a response that delivers the given one unchanged while it is recorded. */
    HttpResponse record(HttpResponse response) {
        SplitHttpResponse split = response.split();
        CompletableFuture<HttpResponse> responseWithHeaders = new CompletableFuture<>();
        HttpResponse callerResponse = HttpResponse.of(responseWithHeaders);
        split.headers().handle((receivedHeaders, failure) -> {
            if (failure != null) {
                onSettlement.accept(new Settlement.Keep(new KeyState.Unknown()));
                responseWithHeaders.completeExceptionally(failure);
                return null;
            }
            headers = receivedHeaders;
            StreamMessage<HttpData> observedBody = split.body().peek(this::bufferBody);
            observedBody.whenComplete().handle((ignored, bodyFailure) -> {
                onSettlement.accept(settlementAtEnd(bodyFailure == null));
                return null;
            });
            if (callerResponse.whenComplete().isDone()) {
                // The caller disconnected while its request ran. A repeat will receive the stored response, so the body
                // still has to be read.
                observedBody.subscribe(new BoundedDrain());
            } else {
                responseWithHeaders.complete(
                        new StreamedResponse(receivedHeaders, observedBody, split.trailers()).toHttpResponse());
            }
            return null;
        });
        return callerResponse;
    }

    /** Reads a response body without a caller, until it ends or becomes too large to be stored. */
    private final class BoundedDrain implements Subscriber<HttpData> {
        private Subscription subscription;

        @Override
        public void onSubscribe(Subscription s) {
            subscription = s;
            s.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(HttpData data) {
            if (isTooLarge()) {
                subscription.cancel();
            }
        }

        @Override
        public void onError(Throwable cause) {
            // The completion future of the observed body already reports the end of the stream.
        }

        @Override
        public void onComplete() {
            // The completion future of the observed body already reports the end of the stream.
        }
    }

    private synchronized boolean isTooLarge() {
        return tooLarge;
    }

    private synchronized void bufferBody(HttpData data) {
        if (tooLarge || body.size() + data.length() > MAX_STORED_BYTES) {
            tooLarge = true;
            return;
        }
        body.writeBytes(data.array());
    }

    private synchronized Settlement settlementAtEnd(boolean complete) {
        // Only responses created by a daemon carry this header: it is removed from responses of backend servers.
        switch (headers.get(CallHeaders.OUTCOME, "")) {
            case CallHeaders.OUTCOME_NOT_RUN -> {
                return new Settlement.Release();
            }
            case CallHeaders.OUTCOME_UNKNOWN -> {
                return new Settlement.Keep(new KeyState.Unknown());
            }
            default -> {}
        }
        int status = headers.status().code();
        List<StoredResponse.Header> storedHeaders = headersToStore();
        int headerBytes = storedHeaders.stream()
                .mapToInt(h -> h.name().length() + h.value().length())
                .sum();
        if (!complete || tooLarge || headerBytes > MAX_STORED_BYTES) {
            return new Settlement.Keep(new KeyState.Ran(status));
        }
        return new Settlement.Keep(
                new KeyState.Answered(new StoredResponse(status, storedHeaders, body.toByteArray())));
    }

    private List<StoredResponse.Header> headersToStore() {
        List<StoredResponse.Header> storedHeaders = new ArrayList<>();
        headers.forEach((name, value) -> {
            if (!UNSTORED_HEADERS.contains(name)) {
                storedHeaders.add(new StoredResponse.Header(name.toString(), value));
            }
        });
        return storedHeaders;
    }

    /** Returns the response to a repeated request, built from the stored response. */
    static HttpResponse replay(String requestId, StoredResponse storedResponse) {
        ResponseHeadersBuilder headers = ResponseHeaders.builder(HttpStatus.valueOf(storedResponse.status()));
        storedResponse.headers().forEach(h -> headers.add(h.name(), h.value()));
        headers.set(CallHeaders.REQUEST_ID, requestId);
        headers.set(CallHeaders.IDEMPOTENCY_REPLAYED, "true");
        return HttpResponse.of(headers.build(), HttpData.wrap(storedResponse.body()));
    }
}

package org.berylwick.transport;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.util.Exceptions;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import org.berylwick.errors.StoreError;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;

/**
 * The object API over HTTP.
 *
 * <p>{@code GET /v1/objects/KEY} reads; {@code PUT} with {@code If-Match: "VERSION"} or {@code If-None-Match: *}
 * writes; {@code DELETE} deletes; {@code GET /v1/objects?prefix=P} lists; {@code GET
 * /v1/watch?prefix=P&after=REVISION&wait_ms=N} waits for a change. Versions travel as {@code ETag}. Lists and watches
 * are answered in the frames of {@link ObjectFrames}, with the revision in {@code x-revision}.
 */
public final class HttpPlatformStore implements PlatformStore {
    /** Response header with the store's revision. */
    public static final String REVISION_HEADER = "x-revision";

    /** Path of single objects and lists. */
    public static final String OBJECTS_PATH = "/v1/objects";

    /** Path of watches. */
    public static final String WATCH_PATH = "/v1/watch";

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration PING_INTERVAL = Duration.ofSeconds(2);
    private static final long WATCH_GRACE_MILLIS = 1_000;
    private static final long MAX_RESPONSE_BYTES = 64L << 20;

    private final ClientFactory factory;
    private final WebClient client;
    private final TimeSource time;
    private final StoreMeter meter;

    /** A client of the store at {@code uri} whose calls nobody counts. */
    public HttpPlatformStore(URI uri, TimeSource time) {
        this(uri, time, new StoreMeter(new MetricRegistry()));
    }

    /**
     * A client of the store at {@code uri}.
     *
     * @param uri scheme http, with host and port
     * @param meter counts calls and bytes
     */
    public HttpPlatformStore(URI uri, TimeSource time, StoreMeter meter) {
        this.time = time;
        this.meter = meter;
        factory = ClientFactory.builder()
                .connectTimeout(CONNECT_TIMEOUT)
                // A connection whose path lost track of it stays open and silent for good; an unanswered
                // ping closes it, so that the next call goes over a new one.
                .pingIntervalMillis(PING_INTERVAL.toMillis())
                .options(ClientFactoryOptions.of(
                        ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER.newValue(meter.wire()::addTo)))
                .build();
        client = WebClient.builder(uri)
                .factory(factory)
                .maxResponseLength(MAX_RESPONSE_BYTES)
                .build();
    }

    @Override
    public Result<Optional<StoredObject>, StoreError> get(ObjectKey key, Deadline deadline) {
        RequestHeaders headers = RequestHeaders.of(HttpMethod.GET, OBJECTS_PATH + "/" + key.path());
        return call(headers, new byte[0], deadline)
                .flatMap(r -> switch (r.status().code()) {
                    case 200 -> readObject(key, r).map(Optional::of);
                    case 404 -> Result.ok(Optional.empty());
                    default -> Result.err(errorOf(r));
                });
    }

    @Override
    public Result<WatchBatch, StoreError> list(String prefix, Deadline deadline) {
        RequestHeaders headers = RequestHeaders.of(HttpMethod.GET, OBJECTS_PATH + "?prefix=" + prefix);
        return call(headers, new byte[0], deadline).flatMap(HttpPlatformStore::batch);
    }

    @Override
    public Result<Long, StoreError> put(ObjectKey key, byte[] value, Precondition precondition, Deadline deadline) {
        if (value.length > MAX_VALUE_BYTES) {
            return Result.err(new StoreError.TooLarge(MAX_VALUE_BYTES));
        }
        return write(HttpMethod.PUT, key, value, precondition, deadline);
    }

    @Override
    public Result<Long, StoreError> delete(ObjectKey key, Precondition precondition, Deadline deadline) {
        return write(HttpMethod.DELETE, key, new byte[0], precondition, deadline);
    }

    private Result<Long, StoreError> write(
            HttpMethod method, ObjectKey key, byte[] value, Precondition precondition, Deadline deadline) {
        RequestHeadersBuilder headers = RequestHeaders.builder(method, OBJECTS_PATH + "/" + key.path());
        switch (precondition) {
            case Precondition.None() -> {}
            case Precondition.MustBeAbsent() -> headers.set(HttpHeaderNames.IF_NONE_MATCH, "*");
            case Precondition.MustHaveVersion(long version) ->
                headers.set(HttpHeaderNames.IF_MATCH, "\"" + version + "\"");
        }
        return call(headers.build(), value, deadline).flatMap(r -> writtenVersion(key, r));
    }

    private static Result<StoredObject, StoreError> readObject(ObjectKey key, AggregatedHttpResponse r) {
        return hasInvalidVersion(r)
                ? Result.err(new StoreError.Malformed("invalid version of " + key))
                : Result.ok(new StoredObject(key, version(r), r.content().array(), false));
    }

    private static Result<Long, StoreError> writtenVersion(ObjectKey key, AggregatedHttpResponse r) {
        if (!r.status().isSuccess()) {
            return Result.err(errorOf(r));
        }
        return hasInvalidVersion(r)
                ? Result.err(new StoreError.OutcomeUnknown("invalid version of " + key))
                : Result.ok(version(r));
    }

    @Override
    public Result<WatchBatch, StoreError> watch(String prefix, long revision, Deadline deadline) {
        long wait = deadline.remainingMillis(time);
        String path = WATCH_PATH + "?prefix=" + prefix + "&after=" + revision + "&wait_ms=" + wait;
        Deadline grace = Deadline.afterMillis(time, wait + WATCH_GRACE_MILLIS);
        return call(RequestHeaders.of(HttpMethod.GET, path), new byte[0], grace).flatMap(HttpPlatformStore::batch);
    }

    private Result<AggregatedHttpResponse, StoreError> call(RequestHeaders headers, byte[] body, Deadline deadline) {
        long millis = deadline.remainingMillis(time);
        if (millis == 0) {
            return Result.err(new StoreError.Unavailable("deadline passed before the call"));
        }
        meter.call();
        RequestOptions options =
                RequestOptions.builder().responseTimeoutMillis(millis).build();
        HttpResponse response = client.execute(HttpRequest.of(headers, HttpData.wrap(body)), options);
        try {
            return Result.ok(response.aggregate().get());
        } catch (ExecutionException e) {
            return Result.err(errorOf(Exceptions.peel(e)));
        } catch (InterruptedException e) {
            // The duty is being closed; a watch left waiting would hold up the close for its whole wait.
            response.abort();
            Thread.currentThread().interrupt();
            return Result.err(new StoreError.OutcomeUnknown("interrupted"));
        }
    }

    private static StoreError errorOf(Throwable cause) {
        // Only a request that was never written is known to have had no effect; for anything else
        // the answer may have been lost after the write took effect.
        if (cause instanceof UnprocessedRequestException) {
            return new StoreError.Unavailable(String.valueOf(cause.getCause()));
        }
        return new StoreError.OutcomeUnknown(cause.toString());
    }

    private static StoreError errorOf(AggregatedHttpResponse r) {
        return switch (r.status().code()) {
            case 412 -> new StoreError.PreconditionFailed(optionalVersion(r));
            case 413 -> new StoreError.TooLarge(MAX_VALUE_BYTES);
            case 429 -> new StoreError.RateLimited(retryAfterMillis(r));
            case 503 -> new StoreError.Unavailable("the store answered 503");
            case 500, 502, 504 -> new StoreError.OutcomeUnknown("the store answered " + r.status());
            default -> new StoreError.Malformed("the store answered " + r.status());
        };
    }

    private static long retryAfterMillis(AggregatedHttpResponse r) {
        Integer seconds = r.headers().getInt(HttpHeaderNames.RETRY_AFTER);
        return seconds == null ? 1_000 : seconds * 1_000L;
    }

    private static long version(AggregatedHttpResponse r) {
        return optionalVersion(r).orElse(0);
    }

    private static OptionalLong optionalVersion(AggregatedHttpResponse r) {
        String etag = r.headers().get(HttpHeaderNames.ETAG);
        if (etag == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(etag.replace("\"", "")));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /** Whether the response states a version that is no number. */
    private static boolean hasInvalidVersion(AggregatedHttpResponse r) {
        return r.headers().contains(HttpHeaderNames.ETAG) && optionalVersion(r).isEmpty();
    }

    private static Result<WatchBatch, StoreError> batch(AggregatedHttpResponse r) {
        if (!r.status().isSuccess()) {
            return Result.err(errorOf(r));
        }
        long revision = r.headers().getLong(REVISION_HEADER, -1);
        Result<List<StoredObject>, String> objects =
                ObjectFrames.decode(r.content().array());
        return switch (objects) {
            case Result.Ok<List<StoredObject>, String>(List<StoredObject> list)
            when revision >= 0 -> Result.ok(new WatchBatch(revision, new ArrayList<>(list)));
            case Result.Ok<List<StoredObject>, String> ignored ->
                Result.err(new StoreError.Malformed("no " + REVISION_HEADER));
            case Result.Err<List<StoredObject>, String>(String detail) -> Result.err(new StoreError.Malformed(detail));
        };
    }

    @Override
    public void close() {
        factory.close();
    }
}

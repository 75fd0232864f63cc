package org.berylwick.standin.platform;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.LongAdder;
import org.berylwick.errors.StoreError;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.HttpPlatformStore;
import org.berylwick.transport.MemoryStore;
import org.berylwick.transport.ObjectFrames;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.Precondition;
import org.berylwick.transport.StoredObject;
import org.berylwick.transport.WatchBatch;

/** The object API over HTTP, as {@link HttpPlatformStore} describes it; every call is counted. */
public final class PlatformServer implements AutoCloseable {
    private static final long CALL_MILLIS = 1_000;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final int MAX_REQUEST_BYTES = 4 << 20;

    private final TimeSource time = TimeSource.SYSTEM;
    private final MemoryStore store = new MemoryStore(time);
    private final LongAdder reads = new LongAdder();
    private final LongAdder writes = new LongAdder();
    private final LongAdder watches = new LongAdder();
    private final Executor executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Server server;

    /** A server that listens on {@code address} from {@link #start()} on. */
    public PlatformServer(HostPort address) {
        server = Server.builder()
                .http(new InetSocketAddress(address.host(), address.port()))
                .requestTimeoutMillis(0)
                .maxRequestLength(MAX_REQUEST_BYTES)
                .service(HttpPlatformStore.OBJECTS_PATH, (ctx, req) -> list(ctx))
                .service(
                        "prefix:" + HttpPlatformStore.OBJECTS_PATH,
                        (ctx, req) ->
                                HttpResponse.of(req.aggregate().thenApplyAsync(whole -> object(ctx, whole), executor)))
                .service(HttpPlatformStore.WATCH_PATH, (ctx, req) -> watch(ctx))
                .service("/control/counts", (ctx, req) -> counts())
                .build();
    }

    /** Begins to listen. */
    public void start() {
        server.start().join();
    }

    /** Where it listens, with the real port. */
    public HostPort address() {
        InetSocketAddress bound = server.activePort().localAddress();
        return new HostPort(bound.getAddress().getHostAddress(), bound.getPort());
    }

    private HttpResponse list(ServiceRequestContext ctx) {
        reads.increment();
        String prefix = ctx.queryParams().get("prefix", "");
        return batch(store.list(prefix, Deadline.afterMillis(time, CALL_MILLIS)));
    }

    private HttpResponse watch(ServiceRequestContext ctx) {
        watches.increment();
        String prefix = ctx.queryParams().get("prefix", "");
        long after = ctx.queryParams().getLong("after", 0);
        long wait = Math.min(ctx.queryParams().getLong("wait_ms", 0), MAX_WAIT_MILLIS);
        return HttpResponse.of(CompletableFuture.supplyAsync(
                () -> batch(store.watch(prefix, after, Deadline.afterMillis(time, wait))), executor));
    }

    private HttpResponse object(ServiceRequestContext ctx, AggregatedHttpRequest request) {
        ObjectKey key;
        try {
            key = new ObjectKey(ctx.mappedPath().substring(1));
        } catch (IllegalArgumentException e) {
            return HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, e.getMessage());
        }
        Deadline deadline = Deadline.afterMillis(time, CALL_MILLIS);
        return switch (request.method()) {
            case GET -> {
                reads.increment();
                yield read(store.get(key, deadline));
            }
            case PUT -> {
                writes.increment();
                yield written(store.put(key, request.content().array(), precondition(request), deadline));
            }
            case DELETE -> {
                writes.increment();
                yield written(store.delete(key, precondition(request), deadline));
            }
            default -> HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED);
        };
    }

    private static Precondition precondition(AggregatedHttpRequest request) {
        if ("*".equals(request.headers().get(HttpHeaderNames.IF_NONE_MATCH))) {
            return new Precondition.MustBeAbsent();
        }
        String match = request.headers().get(HttpHeaderNames.IF_MATCH);
        if (match == null) {
            return new Precondition.None();
        }
        return new Precondition.MustHaveVersion(Long.parseLong(match.replace("\"", "")));
    }

    private static HttpResponse read(Result<Optional<StoredObject>, StoreError> result) {
        return switch (result) {
            case Result.Err<Optional<StoredObject>, StoreError>(StoreError error) -> error(error);
            case Result.Ok<Optional<StoredObject>, StoreError>(Optional<StoredObject> found) ->
                found.map(o -> HttpResponse.of(
                                etag(ResponseHeaders.builder(HttpStatus.OK), o.version())
                                        .build(),
                                HttpData.wrap(o.value())))
                        .orElseGet(() -> HttpResponse.of(HttpStatus.NOT_FOUND));
        };
    }

    private static HttpResponse written(Result<Long, StoreError> result) {
        return switch (result) {
            case Result.Err<Long, StoreError>(StoreError error) -> error(error);
            case Result.Ok<Long, StoreError>(Long version) ->
                HttpResponse.of(
                        etag(ResponseHeaders.builder(HttpStatus.OK), version).build());
        };
    }

    private static HttpResponse batch(Result<WatchBatch, StoreError> result) {
        return switch (result) {
            case Result.Err<WatchBatch, StoreError>(StoreError error) -> error(error);
            case Result.Ok<WatchBatch, StoreError>(WatchBatch batch) ->
                HttpResponse.of(
                        ResponseHeaders.builder(HttpStatus.OK)
                                .setLong(HttpPlatformStore.REVISION_HEADER, batch.revision())
                                .build(),
                        HttpData.wrap(ObjectFrames.encode(batch.changed())));
        };
    }

    private static HttpResponse error(StoreError error) {
        return switch (error) {
            case StoreError.PreconditionFailed(var current) -> {
                ResponseHeadersBuilder headers = ResponseHeaders.builder(HttpStatus.PRECONDITION_FAILED);
                current.ifPresent(v -> etag(headers, v));
                yield HttpResponse.of(headers.build());
            }
            case StoreError.TooLarge ignored -> HttpResponse.of(HttpStatus.REQUEST_ENTITY_TOO_LARGE);
            case StoreError.RateLimited ignored -> HttpResponse.of(HttpStatus.TOO_MANY_REQUESTS);
            case StoreError.Unavailable ignored -> HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
            case StoreError.OutcomeUnknown ignored -> HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT);
            case StoreError.Malformed ignored -> HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR);
        };
    }

    private static ResponseHeadersBuilder etag(ResponseHeadersBuilder headers, long version) {
        return headers.set(HttpHeaderNames.ETAG, "\"" + version + "\"");
    }

    private HttpResponse counts() {
        Map<String, Long> counts = Map.of("reads", reads.sum(), "writes", writes.sum(), "watches", watches.sum());
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, HttpData.wrap(ConfigurationCodec.encode(counts)));
    }

    @Override
    public void close() {
        store.close();
        server.stop().join();
    }
}

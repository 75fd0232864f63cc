package org.berylwick.standin.platform;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.berylwick.errors.StoreError;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.standin.QuickStop;
import org.berylwick.transport.HttpPlatformStore;
import org.berylwick.transport.MemoryStore;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.Precondition;
import org.berylwick.transport.StoredObject;
import org.berylwick.transport.WatchBatch;

/**
 * The object API over HTTP, as {@link HttpPlatformStore} describes it.
 *
 * <p>Every call is counted, a waiting watch as one; calls over the rate are answered 429 with {@code Retry-After}.
 * Faults are brought about through {@link #faults()} or over HTTP: see {@link PlatformControl}, which is served under
 * {@code /control} here and, so that it can be reached while connections are refused, at {@link #controlAddress()}.
 */
public final class PlatformServer implements AutoCloseable {
    private static final long CALL_MILLIS = 1_000;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final int MAX_REQUEST_BYTES = 4 << 20;
    private static final Duration REBIND_TIMEOUT = Duration.ofSeconds(10);
    private static final long REBIND_PAUSE_MILLIS = 50;

    private final TimeSource time = TimeSource.SYSTEM;
    private final MemoryStore store = new MemoryStore(time);
    private final ObjectHistory history = new ObjectHistory();
    private final CallCounter counter = new CallCounter(time);
    private final PlatformFaults faults = new PlatformFaults(time);
    private final RateLimit reads = new RateLimit(time, 0);
    private final RateLimit writes = new RateLimit(time, 0);
    private final Set<CompletableFuture<HttpResponse>> waiting = ConcurrentHashMap.newKeySet();
    private final Executor executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Server control;
    private Server server;
    private HostPort bound;
    private boolean closed;
    private CountDownLatch refusalEnds = new CountDownLatch(0);

    /** A server that listens on {@code address} from {@link #start()} on, without rate limits. */
    public PlatformServer(HostPort address) {
        bound = address;
        control = Server.builder()
                .http(new InetSocketAddress(address.host(), 0))
                .serviceUnder("/control", new PlatformControl(this))
                .build();
        faults.onOutage(this::endWatches);
    }

    private Server build(HostPort address) {
        return Server.builder()
                .http(new InetSocketAddress(address.host(), address.port()))
                .requestTimeoutMillis(0)
                .maxRequestLength(MAX_REQUEST_BYTES)
                .service(HttpPlatformStore.OBJECTS_PATH, this::list)
                .service("prefix:" + HttpPlatformStore.OBJECTS_PATH, this::object)
                .service(HttpPlatformStore.WATCH_PATH, this::watch)
                .serviceUnder("/control", new PlatformControl(this))
                .build();
    }

    /** Begins to listen. */
    public synchronized void start() {
        server = build(bound);
        server.start().join();
        bound = addressOf(server);
        control.start().join();
    }

    /** Where it listens, with the real port. */
    public synchronized HostPort address() {
        return bound;
    }

    /** Where only {@code /control} is served, outage or not. */
    public HostPort controlAddress() {
        return addressOf(control);
    }

    private static HostPort addressOf(Server server) {
        InetSocketAddress address = server.activePort().localAddress();
        return new HostPort(address.getAddress().getHostAddress(), address.getPort());
    }

    /** The faults in force. */
    public PlatformFaults faults() {
        return faults;
    }

    /** The calls counted. */
    public CallCounter counter() {
        return counter;
    }

    /** Limits calls a second; 0 for no limit. Watches count as reads. */
    public void setRates(int readsPerSecond, int writesPerSecond) {
        reads.set(readsPerSecond);
        writes.set(writesPerSecond);
    }

    /** Serves every read as of the time when {@code key} had the value of {@code back} writes ago. */
    public void serveStale(String key, int back, Duration length) {
        history.versionBefore(key, back).ifPresent(version -> faults.serveAsOf(version, length));
    }

    /** Closes every connection and refuses new ones for a while; returns once it has begun. */
    public synchronized void refuseConnections(Duration length) {
        Deadline until = Deadline.after(time, length);
        faults.countOutage();
        QuickStop.stop(server);
        endWatches();
        CountDownLatch early = new CountDownLatch(1);
        refusalEnds = early;
        executor.execute(() -> listenAgain(until, early));
    }

    /** Ends {@link #refuseConnections} before its time. */
    public synchronized void acceptConnections() {
        refusalEnds.countDown();
    }

    private void listenAgain(Deadline from, CountDownLatch early) {
        try {
            early.await(from.remainingMillis(time), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        Deadline giveUp = Deadline.after(time, REBIND_TIMEOUT);
        while (true) {
            synchronized (this) {
                if (closed) {
                    return;
                }
                Server next = build(bound);
                try {
                    next.start().join();
                    server = next;
                    return;
                } catch (CompletionException e) {
                    // Another process may hold the port for a moment as the local end of a connection.
                    if (giveUp.isPast(time)) {
                        throw e;
                    }
                }
            }
            sleep(REBIND_PAUSE_MILLIS);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endWatches() {
        for (CompletableFuture<HttpResponse> watch : waiting) {
            faults.countOutage();
            watch.complete(HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE));
        }
    }

    private HttpResponse list(ServiceRequestContext ctx, HttpRequest request) {
        String prefix = ctx.queryParams().get("prefix", "");
        return call(CallKind.READ, prefix, () -> ObjectAnswers.batch(listed(prefix)));
    }

    private Result<WatchBatch, StoreError> listed(String prefix) {
        long asOf = faults.readRevision();
        return asOf == Long.MAX_VALUE
                ? store.list(prefix, callDeadline())
                : Result.ok(new WatchBatch(asOf, history.list(prefix, asOf)));
    }

    private HttpResponse watch(ServiceRequestContext ctx, HttpRequest request) {
        String prefix = ctx.queryParams().get("prefix", "");
        long after = ctx.queryParams().getLong("after", 0);
        long wait = Math.min(ctx.queryParams().getLong("wait_ms", 0), MAX_WAIT_MILLIS);
        Deadline until = Deadline.afterMillis(time, wait);
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        waiting.add(answer);
        answer.whenComplete((done, failure) -> waiting.remove(answer));
        executor.execute(() -> answer.complete(
                answer(CallKind.WATCH, prefix, () -> ObjectAnswers.batch(watched(prefix, after, until)))));
        return HttpResponse.of(answer);
    }

    private Result<WatchBatch, StoreError> watched(String prefix, long after, Deadline until) {
        long asOf = faults.readRevision();
        if (asOf != Long.MAX_VALUE) {
            sleep(Math.min(faults.staleMillis(), until.remainingMillis(time)));
        }
        return store.watch(prefix, after, until);
    }

    private HttpResponse object(ServiceRequestContext ctx, HttpRequest request) {
        return HttpResponse.of(request.aggregate().thenCompose(whole -> {
            CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
            executor.execute(() -> answer.complete(object(ctx, whole)));
            return answer;
        }));
    }

    private HttpResponse object(ServiceRequestContext ctx, AggregatedHttpRequest request) {
        ObjectKey key;
        try {
            key = new ObjectKey(ctx.mappedPath().substring(1));
        } catch (IllegalArgumentException e) {
            return HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, e.getMessage());
        }
        return switch (request.method()) {
            case GET -> answer(CallKind.READ, key.path(), () -> ObjectAnswers.read(read(key)));
            case PUT, DELETE ->
                answer(CallKind.WRITE, key.path(), () -> {
                    HttpResponse written = ObjectAnswers.written(write(key, request));
                    return faults.losesAnswer() ? lost(ctx) : written;
                });
            default -> HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED);
        };
    }

    private Result<Optional<StoredObject>, StoreError> read(ObjectKey key) {
        long asOf = faults.readRevision();
        return asOf == Long.MAX_VALUE ? store.get(key, callDeadline()) : Result.ok(history.get(key, asOf));
    }

    private Result<Long, StoreError> write(ObjectKey key, AggregatedHttpRequest request) {
        boolean delete = request.method() == HttpMethod.DELETE;
        byte[] value = delete ? new byte[0] : request.content().array();
        Result<Long, StoreError> result = delete
                ? store.delete(key, precondition(request), callDeadline())
                : store.put(key, value, precondition(request), callDeadline());
        return result.map(version -> {
            history.add(new StoredObject(key, version, value, delete));
            return version;
        });
    }

    private HttpResponse lost(ServiceRequestContext ctx) {
        if (!faults.losesSilently()) {
            ctx.log().partial().channel().close();
        }
        return HttpResponse.of(new CompletableFuture<>());
    }

    private HttpResponse call(CallKind kind, String key, Supplier<HttpResponse> work) {
        return HttpResponse.of(CompletableFuture.supplyAsync(() -> answer(kind, key, work), executor));
    }

    private HttpResponse answer(CallKind kind, String key, Supplier<HttpResponse> work) {
        counter.count(kind, key);
        if (faults.meetsOutage()) {
            return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
        }
        RateLimit limit = kind == CallKind.WRITE ? writes : reads;
        if (!limit.tryTake()) {
            counter.countRefused();
            return ObjectAnswers.rateLimited();
        }
        try {
            faults.delay();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return work.get();
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

    private Deadline callDeadline() {
        return Deadline.afterMillis(time, CALL_MILLIS);
    }

    @Override
    public void close() {
        store.close();
        synchronized (this) {
            closed = true;
            QuickStop.stop(server);
        }
        QuickStop.stop(control);
    }
}

package org.berylwick.standin.backend;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32C;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;

/** Runs requests in exact slots; see {@link BackendServer} for the protocol. */
final class BackendService implements HttpService {
    static final String REQUEST_ID = "x-request-id";
    static final String TIMEOUT_MILLIS = "x-request-timeout-ms";
    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    private static final String SHED = "x-shed";
    private static final String RATE = "x-request-rate";
    private static final String LEAVING = "x-leaving";
    private static final String FAULT = "x-standin-fault";

    private final String instance;
    private final BackendOptions options;
    private final BackendFaults faults;
    private final RunLedger ledger;
    private final ChainCaller chain;
    private final TimeSource time;
    private final AtomicInteger busy = new AtomicInteger();
    private volatile Deadline coldUntil;
    private volatile String lastRequestId = "";

    private record Echo(
            String instance,
            String method,
            String path,
            String brand,
            String theme,
            String requestId,
            long bodyBytes,
            long bodyCrc32c,
            int chainStatus) {}

    BackendService(String instance, BackendOptions options, BackendFaults faults, RunLedger ledger, ChainCaller chain) {
        this.instance = instance;
        this.options = options;
        this.faults = faults;
        this.ledger = ledger;
        this.chain = chain;
        this.time = TimeSource.SYSTEM;
        coldUntil = Deadline.afterMillis(time, 0);
    }

    void startCold() {
        coldUntil = Deadline.after(time, options.coldPeriod());
    }

    int busy() {
        return busy.get();
    }

    @Override
    public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
        return run(ctx, request).mapHeaders(this::withStatements);
    }

    private ResponseHeaders withStatements(ResponseHeaders headers) {
        Optional<String> rate = faults.statedRate();
        if (rate.isEmpty() && !faults.leaveStated()) {
            return headers;
        }
        ResponseHeadersBuilder stated = headers.toBuilder();
        rate.ifPresent(r -> stated.set(RATE, r));
        if (faults.leaveStated()) {
            stated.set(LEAVING, "1");
        }
        return stated.build();
    }

    private HttpResponse run(ServiceRequestContext ctx, HttpRequest request) {
        ledger.countArrival();
        long timeout = request.headers().getLong(TIMEOUT_MILLIS, -1);
        if (timeout == 0 || faults.shedding() || !takeSlot()) {
            ledger.countShed();
            return HttpResponse.of(ResponseHeaders.builder(HttpStatus.SERVICE_UNAVAILABLE)
                    .set(SHED, "true")
                    .set(REQUEST_ID, request.headers().get(REQUEST_ID, ""))
                    .build());
        }
        Optional<Deadline> deadline = timeout < 0 ? Optional.empty() : Optional.of(Deadline.afterMillis(time, timeout));
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        HttpResponse response = HttpResponse.of(answer);
        Run run = new Run(ctx, request.headers(), deadline, answer, response.whenComplete());
        run.begin(request);
        return response;
    }

    private boolean takeSlot() {
        if (busy.incrementAndGet() <= options.slots()) {
            return true;
        }
        busy.decrementAndGet();
        return false;
    }

    private final class Run {
        private final ServiceRequestContext ctx;
        private final RequestHeaders headers;
        private final Optional<Deadline> deadline;
        private final CompletableFuture<HttpResponse> answer;
        private final CompletableFuture<Void> over;
        private final CRC32C crc = new CRC32C();
        private final AtomicBoolean expired = new AtomicBoolean();
        private long bodyBytes;

        Run(
                ServiceRequestContext ctx,
                RequestHeaders headers,
                Optional<Deadline> deadline,
                CompletableFuture<HttpResponse> answer,
                CompletableFuture<Void> over) {
            this.ctx = ctx;
            this.headers = headers;
            this.deadline = deadline;
            this.answer = answer;
            this.over = over;
        }

        void begin(HttpRequest request) {
            over.whenComplete((done, failure) -> end(failure));
            deadline.ifPresent(d -> ctx.eventLoop()
                    .withoutContext()
                    .schedule(this::expire, d.remainingMillis(time), TimeUnit.MILLISECONDS));
            request.peekData(this::take).subscribe(ctx.eventLoop()).whenComplete((done, failure) -> {
                if (failure == null) {
                    work();
                } else {
                    answer.completeExceptionally(failure);
                }
            });
        }

        private void take(HttpData data) {
            bodyBytes += data.length();
            crc.update(data.array());
        }

        private void work() {
            if (over.isDone() || answer.isDone()) {
                return;
            }
            ledger.countRun(headers.get(REQUEST_ID, ""), headers.get(IDEMPOTENCY_KEY, ""));
            if (faults.lateStart()) {
                ledger.countLateStart();
            }
            chain.call(ctx, headers, deadline, over).thenAccept(status -> {
                long nanos = serviceNanos();
                if (nanos == 0) {
                    finish(status);
                } else {
                    ctx.eventLoop().schedule(() -> finish(status), nanos, TimeUnit.NANOSECONDS);
                }
            });
        }

        private long serviceNanos() {
            Duration asked = Duration.ofMillis(ctx.queryParams().getLong("service_ms", 0));
            Duration nanos =
                    options.serviceTime().plus(faults.extraServiceTime()).plus(asked);
            return (coldUntil.isPast(time) ? nanos : nanos.plus(options.coldExtra())).toNanos();
        }

        private void expire() {
            if (answer.isDone()) {
                return;
            }
            expired.set(true);
            answer.complete(HttpResponse.of(ResponseHeaders.builder(HttpStatus.GATEWAY_TIMEOUT)
                    .set(REQUEST_ID, headers.get(REQUEST_ID, ""))
                    .build()));
        }

        private void end(Throwable failure) {
            busy.decrementAndGet();
            if (expired.get()) {
                ledger.countExpired();
            } else if (failure != null) {
                ledger.countCancelled();
            } else {
                ledger.countFinished();
            }
        }

        private void finish(int chainStatus) {
            if (answer.isDone()) {
                return;
            }
            Optional<AnswerFault> fault =
                    AnswerFault.fromWord(headers.get(FAULT, "")).or(faults::takeNext);
            fault.ifPresent(faults::countStruck);
            if (fault.isEmpty()) {
                answer.complete(compose(chainStatus, headers.get(REQUEST_ID, ""), false));
                lastRequestId = headers.get(REQUEST_ID, "");
                return;
            }
            spoil(fault.get(), chainStatus);
        }

        private void spoil(AnswerFault fault, int chainStatus) {
            String id = headers.get(REQUEST_ID, "");
            switch (fault) {
                case LATE ->
                    ctx.eventLoop()
                            .withoutContext()
                            .schedule(
                                    () -> answer.complete(compose(chainStatus, id, false)),
                                    faults.lateness().toMillis(),
                                    TimeUnit.MILLISECONDS);
                case CROSSED -> answer.complete(compose(chainStatus, otherId(id), false));
                case TRUNCATED -> answer.complete(compose(chainStatus, id, true));
                case DOUBLED -> {
                    over.thenRun(() -> RawAnswer.write(ctx, id));
                    answer.complete(compose(chainStatus, id, false));
                }
                case LOST -> ctx.log().partial().channel().close();
                case SILENT -> {}
                default -> throw new IllegalStateException("no such fault: " + fault);
            }
        }

        private String otherId(String own) {
            return lastRequestId.isEmpty() || lastRequestId.equals(own) ? own + "-other" : lastRequestId;
        }

        private HttpResponse compose(int chainStatus, String requestId, boolean cut) {
            long bytes = ctx.queryParams().getLong("bytes", -1);
            if (bytes >= 0) {
                return large(requestId, bytes, cut);
            }
            byte[] body = ConfigurationCodec.encode(new Echo(
                    instance,
                    headers.method().name(),
                    ctx.path(),
                    headers.get("x-brand", ""),
                    headers.get("x-theme", ""),
                    requestId,
                    bodyBytes,
                    crc.getValue(),
                    chainStatus));
            ResponseHeaders answered = ResponseHeaders.builder(
                            chainStatus == HttpStatus.OK.code() ? HttpStatus.OK : HttpStatus.BAD_GATEWAY)
                    .contentType(MediaType.JSON)
                    .set(REQUEST_ID, requestId)
                    .contentLength(body.length)
                    .build();
            return cut ? cutShort(answered, body) : HttpResponse.of(answered, HttpData.wrap(body));
        }

        private HttpResponse cutShort(ResponseHeaders answered, byte[] body) {
            var writer = HttpResponse.streaming();
            writer.write(answered);
            writer.write(HttpData.copyOf(body, 0, body.length / 2));
            writer.whenConsumed().thenRun(() -> ctx.log().partial().channel().close());
            return writer;
        }

        private HttpResponse large(String requestId, long bytes, boolean cut) {
            Content content = new Content(ctx.path());
            ResponseHeadersBuilder answered = ResponseHeaders.builder(HttpStatus.OK)
                    .contentType(MediaType.OCTET_STREAM)
                    .set(REQUEST_ID, requestId)
                    .set(HttpHeaderNames.ACCEPT_RANGES, "bytes")
                    .set(HttpHeaderNames.ETAG, content.etag(bytes));
            ByteRange range = new ByteRange(0, bytes - 1);
            String asked = headers.get(HttpHeaderNames.RANGE, "");
            String ifRange = headers.get(HttpHeaderNames.IF_RANGE, content.etag(bytes));
            Optional<ByteRange> part = ByteRange.fromHeader(asked, bytes);
            if (part.isPresent() && ifRange.equals(content.etag(bytes))) {
                range = part.get();
                answered.status(HttpStatus.PARTIAL_CONTENT);
                answered.set(
                        HttpHeaderNames.CONTENT_RANGE, "bytes " + range.first() + "-" + range.last() + "/" + bytes);
            }
            answered.contentLength(range.length());
            if (range.length() == 0) {
                return HttpResponse.of(answered.build());
            }
            long rate = ctx.queryParams().getLong("bytes_per_s", 0);
            return new AnswerWriter(ctx, content, range, rate, cut).start(answered.build());
        }
    }
}

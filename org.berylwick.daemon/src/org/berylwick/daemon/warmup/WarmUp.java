package org.berylwick.daemon.warmup;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.ProcessEvent;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.TimeSource;

/**
 * Loads and compiles the call path by calls of the process to itself; to be run before the sockets open.
 *
 * <p>Without it the first callers of a fresh daemon wait for its class loading and run its interpreter: 170 machines
 * are replaced a day, and each would hold up the calls of its first seconds. The calls are bounded in number and time,
 * so a slow machine becomes ready late at worst by the time limit.
 */
public final class WarmUp {
    private static final String USER_AGENT = "warm-up";
    private static final EventLog EVENTS = new EventLog(WarmUp.class);
    private static final Duration TIME_LIMIT = Duration.ofSeconds(4);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final int READS_A_ROUND = 8;
    private static final HttpData SMALL_BODY = HttpData.wrap(new byte[256]);
    private static final HttpData CHUNK = HttpData.wrap(new byte[32 << 10]);
    private static final int CHUNKS = 4;

    private final TimeSource time;
    private final int maxRounds;

    /**
     * A warm-up that begins with {@link #run()}.
     *
     * @param maxRounds rounds of eleven calls, if there is time for them
     */
    public WarmUp(TimeSource time, int maxRounds) {
        this.time = time;
        this.maxRounds = maxRounds;
    }

    /**
     * What a warm-up did.
     *
     * @param rounds of calls made
     * @param millis it took
     * @param failed calls that were not answered as expected
     */
    public record Report(int rounds, long millis, long failed) {}

    /** Makes the calls, frees all that they needed, and logs what it did; blocks the calling thread. */
    public Report run() {
        long begin = time.nanoTime();
        Deadline deadline = Deadline.after(time, TIME_LIMIT);
        int rounds = 0;
        long failed = 0;
        try (LoopbackCallPath path = new LoopbackCallPath(time);
                ClientFactory factory = ClientFactory.builder()
                        .useHttp1Pipelining(false)
                        .connectTimeout(CALL_TIMEOUT)
                        .build()) {
            List<WebClient> clients = Stream.of("h1c", "h2c")
                    .map(protocol -> client(protocol, path.entryAddress(), factory))
                    .toList();
            while (rounds < maxRounds && !deadline.isPast(time)) {
                failed += round(clients.get(rounds % clients.size()));
                rounds++;
            }
        }
        Report report = new Report(rounds, TimeUnit.NANOSECONDS.toMillis(time.nanoTime() - begin), failed);
        EVENTS.log(ProcessEvent.WARMED_UP, report.rounds(), report.millis(), report.failed());
        return report;
    }

    private static WebClient client(String protocol, HostPort address, ClientFactory factory) {
        return WebClient.builder(protocol + "://" + address)
                .factory(factory)
                .responseTimeout(CALL_TIMEOUT)
                .build();
    }

    /** Makes one round of calls side by side and tells how many were not answered as expected. */
    private static long round(WebClient client) {
        Stream<CompletableFuture<Boolean>> reads = IntStream.range(0, READS_A_ROUND)
                .mapToObj(i -> isAnswered(client, HttpRequest.of(headers(HttpMethod.GET, i)), HttpStatus.OK));
        Stream<CompletableFuture<Boolean>> others = Stream.of(
                isAnswered(client, keyed(), HttpStatus.OK),
                isAnswered(client, streamed(), HttpStatus.OK),
                isAnswered(client, withoutRoute(), HttpStatus.NOT_FOUND));
        return Stream.concat(reads, others).toList().stream()
                .filter(answered -> !join(answered))
                .count();
    }

    private static RequestHeaders headers(HttpMethod method, int item) {
        return builder(method, "/warm-up/" + item, LoopbackCallPath.HOST).build();
    }

    private static RequestHeadersBuilder builder(HttpMethod method, String path, String host) {
        return RequestHeaders.builder(method, path)
                .authority(host)
                .set(HttpHeaderNames.USER_AGENT, USER_AGENT)
                .set(HttpHeaderNames.ACCEPT, "*/*");
    }

    private static HttpRequest keyed() {
        RequestHeaders headers = builder(HttpMethod.POST, "/warm-up/0", LoopbackCallPath.HOST)
                .set("idempotency-key", UUID.randomUUID().toString())
                .build();
        return HttpRequest.of(headers, SMALL_BODY);
    }

    private static HttpRequest streamed() {
        HttpData[] chunks = IntStream.range(0, CHUNKS).mapToObj(i -> CHUNK).toArray(HttpData[]::new);
        return HttpRequest.of(headers(HttpMethod.POST, 0), StreamMessage.of(chunks));
    }

    private static HttpRequest withoutRoute() {
        return HttpRequest.of(builder(HttpMethod.GET, "/", "no-brand.invalid").build());
    }

    private static CompletableFuture<Boolean> isAnswered(WebClient client, HttpRequest request, HttpStatus expected) {
        return client.execute(request)
                .aggregate()
                .thenApply(AggregatedHttpResponse::status)
                .thenApply(expected::equals);
    }

    private static boolean join(CompletableFuture<Boolean> answered) {
        try {
            return answered.join();
        } catch (CompletionException e) {
            return false;
        }
    }
}

package org.berylwick.bench.call;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SingleWriterRecorder;
import org.berylwick.lib.HostPort;

/**
 * One way that calls take, with an event loop and keep-alive HTTP/1.1 connections of its own and the times they took.
 *
 * <p>Times are nanoseconds from when a call was due, so that a stall shows in every call that it held up.
 */
final class LoadPath implements AutoCloseable {
    static final long HIGHEST_NANOS = Duration.ofMinutes(1).toNanos();
    static final int DIGITS = 3;

    private final ClientFactory factory;
    private final WebClient client;
    private final Supplier<HttpRequest> requests;
    private final SingleWriterRecorder times = new SingleWriterRecorder(HIGHEST_NANOS, DIGITS);
    private final AtomicLong inFlight = new AtomicLong();
    private final AtomicLong errors = new AtomicLong();

    /**
     * A path that begins at {@code address}.
     *
     * @param host the caller's host header
     */
    LoadPath(HostPort address, String host, String path) {
        this(address, get(host, path));
    }

    /**
     * A path that begins at {@code address}.
     *
     * @param requests gives each call's request
     */
    LoadPath(HostPort address, Supplier<HttpRequest> requests) {
        this.requests = requests;
        factory = ClientFactory.builder()
                .workerGroup(1)
                .idleTimeout(Duration.ofMinutes(1))
                .useHttp1Pipelining(false)
                .build();
        client = WebClient.builder("h1c://" + address)
                .factory(factory)
                .responseTimeout(Duration.ofSeconds(10))
                .build();
    }

    private static Supplier<HttpRequest> get(String host, String path) {
        RequestHeaders headers =
                RequestHeaders.builder(HttpMethod.GET, path).authority(host).build();
        return () -> HttpRequest.of(headers);
    }

    /** Sends one call that was due at {@code dueNanos}. */
    void send(long dueNanos) {
        inFlight.incrementAndGet();
        client.execute(requests.get()).aggregate().handle((answer, failure) -> {
            // Completed on this path's one event loop, so there is a single writer.
            times.recordValue(Math.min(HIGHEST_NANOS, Math.max(0, System.nanoTime() - dueNanos)));
            if (failure != null || !isAnswer(answer)) {
                errors.incrementAndGet();
            }
            inFlight.decrementAndGet();
            return null;
        });
    }

    private static boolean isAnswer(AggregatedHttpResponse answer) {
        return answer.status().equals(HttpStatus.OK) && !answer.content().isEmpty();
    }

    /** Calls sent that are not answered yet. */
    long inFlight() {
        return inFlight.get();
    }

    /** The times since the last call of this method, and begins anew. */
    Histogram takeTimes() {
        return times.getIntervalHistogram();
    }

    /** Calls that failed or were not answered with 200 since the last call of this method, and begins anew. */
    long takeErrors() {
        return errors.getAndSet(0);
    }

    @Override
    public void close() {
        factory.close();
    }
}

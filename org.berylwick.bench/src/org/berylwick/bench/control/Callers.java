package org.berylwick.bench.control;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.berylwick.lib.HostPort;

/** One caller that sends a request every few milliseconds to some daemon that listens. */
final class Callers implements AutoCloseable {
    private static final long PAUSE_MILLIS = 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(6);
    private static final int OK = 200;

    private final ControlFleet fleet;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final Thread thread;
    private volatile boolean running = true;

    /** Calls begin. */
    Callers(ControlFleet fleet) {
        this.fleet = fleet;
        thread = Thread.ofPlatform().name("caller").daemon(true).start(this::loop);
    }

    private void loop() {
        try {
            while (running) {
                List<HostPort> entries = fleet.listening();
                if (!entries.isEmpty()) {
                    call(entries.get(ThreadLocalRandom.current().nextInt(entries.size())));
                }
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void call(HostPort entry) throws InterruptedException {
        sent.incrementAndGet();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry + "/service-0/0"))
                .header("host", "brand-000.example")
                .timeout(TIMEOUT)
                .build();
        try {
            int status =
                    http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
            if (status != OK) {
                failed.incrementAndGet();
            }
        } catch (IOException e) {
            failed.incrementAndGet();
        }
    }

    long sent() {
        return sent.get();
    }

    long failed() {
        return failed.get();
    }

    @Override
    public void close() {
        running = false;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package org.berylwick.bench.quickstart;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.UUID;
import org.berylwick.lib.HostPort;

/** Sends requests as callers outside do. */
final class Caller {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;

    private final HttpClient http;

    Caller() {
        // The host header is this client's to choose: a brand is known by it. Read once, by the first client.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        http = HttpClient.newBuilder()
                .connectTimeout(CONNECT_TIMEOUT)
                .version(HttpClient.Version.HTTP_1_1)
                .build();
    }

    /**
     * Sends a request to a daemon and gives the answer's body.
     *
     * @throws IllegalStateException if it is not answered with 200
     */
    String send(Sample sample, HostPort daemon) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + daemon + sample.path()))
                .header("host", sample.host())
                .header("idempotency-key", UUID.randomUUID().toString())
                .timeout(TIMEOUT)
                .method(sample.method(), HttpRequest.BodyPublishers.noBody())
                .build();
        try {
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() != OK) {
                throw new IllegalStateException(
                        sample + " was answered " + response.statusCode() + " " + response.body());
            }
            return response.body();
        } catch (IOException e) {
            throw new IllegalStateException(sample + " was not answered: " + e, e);
        }
    }
}

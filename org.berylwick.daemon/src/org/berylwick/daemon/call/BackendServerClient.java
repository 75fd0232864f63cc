package org.berylwick.daemon.call;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import java.time.Duration;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.TimeSource;

/**
 * The connections to the backend server in the same VM.
 *
 * <p>HTTP/1.1 with one request a connection at a time: giving up a request closes its connection, so its late answer
 * can reach nobody else. The slot limiter bounds how many there are.
 */
final class BackendServerClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final ClientFactory factory;
    private final WebClient client;
    private final TimeSource time;

    BackendServerClient(HostPort address, TimeSource time) {
        this.time = time;
        factory = ClientFactory.builder()
                .connectTimeout(CONNECT_TIMEOUT)
                .idleTimeout(IDLE_TIMEOUT)
                .useHttp1Pipelining(false)
                .build();
        client = WebClient.builder("h1c://" + address)
                .factory(factory)
                .maxResponseLength(0)
                .writeTimeoutMillis(0)
                .build();
    }

    /** Sends a request; whoever subscribes to the response streams it. */
    HttpResponse execute(HttpRequest request, Deadline deadline) {
        RequestOptions options = RequestOptions.builder()
                .responseTimeoutMillis(Math.max(1, deadline.remainingMillis(time)))
                .build();
        return client.execute(request, options);
    }

    @Override
    public void close() {
        factory.close();
    }
}

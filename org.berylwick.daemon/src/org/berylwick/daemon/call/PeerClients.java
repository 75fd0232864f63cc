package org.berylwick.daemon.call;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.TimeSource;

/** HTTP/2 clients to other daemons, one an address. */
final class PeerClients implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration PING_INTERVAL = Duration.ofSeconds(1);

    private final ClientFactory factory;
    private final Map<HostPort, WebClient> clients = new ConcurrentHashMap<>();
    private final TimeSource time;

    PeerClients(TimeSource time) {
        this.time = time;
        factory = ClientFactory.builder()
                .connectTimeout(CONNECT_TIMEOUT)
                // A connection may go silent for good without being closed; an unanswered ping closes it
                // within seconds, and its requests end as unknown instead of waiting for their deadline.
                .pingIntervalMillis(PING_INTERVAL.toMillis())
                .build();
    }

    /** Sends a request to the daemon at {@code address}. */
    HttpResponse execute(HostPort address, HttpRequest request, Deadline deadline) {
        RequestOptions options = RequestOptions.builder()
                .responseTimeoutMillis(Math.max(1, deadline.remainingMillis(time)))
                .build();
        return clients.computeIfAbsent(address, this::newClient).execute(request, options);
    }

    private WebClient newClient(HostPort address) {
        return WebClient.builder("h2c://" + address)
                .factory(factory)
                .maxResponseLength(0)
                .writeTimeoutMillis(0)
                .build();
    }

    @Override
    public void close() {
        factory.close();
    }
}

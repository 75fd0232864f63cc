package org.berylwick.daemon.call;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.berylwick.lib.HostPort;

/** HTTP/2 clients for other daemons, one per address. */
final class PeerClients implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final ClientFactory factory;
    private final Map<HostPort, WebClient> clients = new ConcurrentHashMap<>();

    PeerClients() {
        factory = ClientFactory.builder()
                .connectTimeout(CONNECT_TIMEOUT)
                .option(
                        ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER,
                        pipeline -> pipeline.addFirst(new SilenceDetector()))
                .build();
    }

    /** Sends a request to the daemon at {@code address}. */
    Exchange execute(HostPort address, HttpRequest request, long timeoutMillis) {
        return Exchange.start(clients.computeIfAbsent(address, this::newClient), request, timeoutMillis);
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

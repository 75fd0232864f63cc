package org.berylwick.daemon.call;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpRequest;
import java.time.Duration;
import org.berylwick.lib.HostPort;

/**
 * HTTP/1.1 client for the backend server in the same VM.
 *
 * <p>Each connection carries one request at a time, without pipelining. Aborting a request closes its connection, so
 * its late response can't be taken for the response to another request. The slot limiter bounds the number of
 * connections.
 */
final class BackendServerClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final ClientFactory factory;
    private final WebClient client;

    BackendServerClient(HostPort address) {
        factory = ClientFactory.builder()
                .connectTimeout(CONNECT_TIMEOUT)
                .idleTimeout(IDLE_TIMEOUT)
                .useHttp1Pipelining(false)
                .option(
                        ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER,
                        pipeline -> pipeline.addFirst(SingleResponseCodec.Installer.withFramingCheck()))
                .build();
        client = WebClient.builder("h1c://" + address)
                .factory(factory)
                .maxResponseLength(0)
                .writeTimeoutMillis(0)
                .build();
    }

    /** Sends a request; its response body is streamed to the subscriber. */
    Exchange execute(HttpRequest request, long timeoutMillis) {
        return Exchange.start(client, request, timeoutMillis);
    }

    @Override
    public void close() {
        factory.close();
    }
}

package org.berylwick.standin.backend;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.lib.HostPort;

/** Answers any request with what it saw of it, as long as a slot is free. */
public final class BackendServer implements AutoCloseable {
    private static final String REQUEST_ID = "x-request-id";

    private final String instance;
    private final int slots;
    private final Duration serviceTime;
    private final AtomicInteger busy = new AtomicInteger();
    private final Server server;

    private record Echo(String instance, String method, String path, String brand, String theme) {}

    /**
     * A backend server that listens on {@code address} from {@link #start()} on.
     *
     * @param slots requests run at once; more are shed
     * @param serviceTime how long each takes
     */
    public BackendServer(String instance, HostPort address, int slots, Duration serviceTime) {
        this.instance = instance;
        this.slots = slots;
        this.serviceTime = serviceTime;
        server = Server.builder()
                .http(new InetSocketAddress(address.host(), address.port()))
                .requestTimeoutMillis(0)
                .service("/health", (ctx, req) -> HttpResponse.of(HttpStatus.OK))
                .serviceUnder("/", this::serve)
                .build();
    }

    /** Begins to listen. */
    public void start() {
        server.start().join();
    }

    /** Where it listens, with the real port. */
    public HostPort address() {
        InetSocketAddress bound = server.activePort().localAddress();
        return new HostPort(bound.getAddress().getHostAddress(), bound.getPort());
    }

    private HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
        if (busy.incrementAndGet() > slots) {
            busy.decrementAndGet();
            return HttpResponse.of(ResponseHeaders.builder(HttpStatus.SERVICE_UNAVAILABLE)
                    .set("x-shed", "true")
                    .build());
        }
        HttpResponse answer = HttpResponse.of(request.aggregate().thenApply(whole -> answer(ctx, request)));
        HttpResponse timed = serviceTime.isZero() ? answer : HttpResponse.delayed(answer, serviceTime);
        timed.whenComplete().whenComplete((done, failure) -> busy.decrementAndGet());
        return timed;
    }

    private HttpResponse answer(ServiceRequestContext ctx, HttpRequest request) {
        Echo echo = new Echo(
                instance,
                request.method().name(),
                ctx.path(),
                request.headers().get("x-brand", ""),
                request.headers().get("x-theme", ""));
        ResponseHeaders headers = ResponseHeaders.builder(HttpStatus.OK)
                .contentType(MediaType.JSON)
                .set(REQUEST_ID, request.headers().get(REQUEST_ID, ""))
                .build();
        return HttpResponse.of(headers, HttpData.wrap(ConfigurationCodec.encode(echo)));
    }

    @Override
    public void close() {
        server.stop().join();
    }
}

package org.berylwick.standin.platform;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.berylwick.internal.config.ConfigurationCodec;

/**
 * Brings about faults of the platform's stand-in over HTTP, whatever the method.
 *
 * <p>Each path takes query parameters, all optional: {@code after_ms} before the fault starts (0), {@code millis} that
 * it lasts (10000).
 *
 * <ul>
 *   <li>{@code /control/outage?refuse=true}: 503 on every call, or connections refused if {@code refuse}
 *   <li>{@code /control/slow?min_ms=50&max_ms=500}: each call delayed
 *   <li>{@code /control/lose-answers?count=1&silent=false}: writes applied, the answer never sent
 *   <li>{@code /control/stale?key=config/head&back=1}: reads served as of the time when {@code key} had the value of
 *       {@code back} writes ago
 *   <li>{@code /control/rates?reads=2000&writes=400}: calls a second, 0 for no limit
 *   <li>{@code /control/clear}: ends all faults
 *   <li>{@code /control/counts?reset=false}: calls counted, as JSON
 *   <li>{@code /control/struck}: how often each fault struck a call, as JSON
 * </ul>
 */
final class PlatformControl implements HttpService {
    private static final long DEFAULT_MILLIS = 10_000;
    private static final String DEFAULT_STALE_KEY = "config/head";

    private final PlatformServer server;

    PlatformControl(PlatformServer server) {
        this.server = server;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
        QueryParams q = ctx.queryParams();
        Duration length = Duration.ofMillis(q.getLong("millis", DEFAULT_MILLIS));
        PlatformFaults faults = server.faults();
        return switch (ctx.mappedPath()) {
            case "/outage" ->
                later(ctx, () -> {
                    if (Boolean.parseBoolean(q.get("refuse", "false"))) {
                        server.refuseConnections(length);
                    } else {
                        faults.startOutage(length);
                    }
                });
            case "/slow" ->
                later(ctx, () -> faults.slowDown(q.getLong("min_ms", 50), q.getLong("max_ms", 500), length));
            case "/lose-answers" ->
                later(
                        ctx,
                        () -> faults.loseAnswers(
                                q.getLong("count", 1), Boolean.parseBoolean(q.get("silent", "false"))));
            case "/stale" ->
                later(ctx, () -> server.serveStale(q.get("key", DEFAULT_STALE_KEY), q.getInt("back", 1), length));
            case "/rates" -> later(ctx, () -> server.setRates(q.getInt("reads", 0), q.getInt("writes", 0)));
            case "/clear" -> later(ctx, faults::clear);
            case "/counts" -> counts(Boolean.parseBoolean(q.get("reset", "false")));
            case "/struck" -> json(faults.struck());
            default -> HttpResponse.of(HttpStatus.NOT_FOUND);
        };
    }

    private static HttpResponse later(ServiceRequestContext ctx, Runnable fault) {
        long after = ctx.queryParams().getLong("after_ms", 0);
        if (after > 0) {
            ctx.eventLoop().withoutContext().schedule(fault, after, TimeUnit.MILLISECONDS);
        } else {
            fault.run();
        }
        return HttpResponse.of(HttpStatus.OK);
    }

    private HttpResponse counts(boolean reset) {
        HttpResponse answer = json(server.counter().counts());
        if (reset) {
            server.counter().reset();
        }
        return answer;
    }

    private static HttpResponse json(Object record) {
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, HttpData.wrap(ConfigurationCodec.encode(record)));
    }
}

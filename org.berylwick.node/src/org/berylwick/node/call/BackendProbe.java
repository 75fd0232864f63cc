package org.berylwick.node.call;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.NodeSettings;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.transport.BufferedHttpCall;
import org.berylwick.node.transport.ConnectionPool;

/**
 * Queries the health path of the backend server for its incarnation and number of slots after a start of this node;
 * confined to the event loop.
 *
 * <p>Without the probe, a node that was killed and restarted learns of its backend server from the next heartbeat, up
 * to 1.5 s later. Until then its slots are unavailable to the fleet, and if all nodes were killed at once, no request
 * is served. A healthy response names the incarnation to which each request is then addressed, so another server at
 * that address runs none of them. A server that is draining reports that it is not healthy. The first heartbeat
 * replaces what the probe found.
 */
public final class BackendProbe {
    private static final long TIMEOUT_MILLIS = 400;
    private static final long RETRY_DELAY_MILLIS = 100;
    /** Delay of the tries for which there is time until the departures are known. */
    private static final long LATER_RETRY_DELAY_MILLIS = 500;
    /** After this many tries a heartbeat is due anyway, which is enough once the departures are known. */
    private static final int MAX_TRIES = 5;
    /** Lower than the sequence number of any heartbeat. */
    private static final long SEQUENCE_BEFORE_FIRST_REPORT = -1;

    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    private static final long MAX_IDLE_NANOS = 1_000_000_000L;
    private static final int MAX_RESPONSE_BYTES = 65_536;
    private static final byte[] EMPTY_BODY = new byte[0];

    private final EventLoop loop;
    private final NodeSettings settings;
    private final HeaderNames headerNames;
    private final Owner owner;
    private final EventLog log;
    private int tries;
    private boolean started;

    /**
     * @param loop event loop of this object and its connections
     * @param settings contain the service and the address of its backend server
     * @param headerNames names of the headers exchanged with the backend server
     * @param owner receives the result as a report
     * @param log receives events
     */
    public BackendProbe(EventLoop loop, NodeSettings settings, HeaderNames headerNames, Owner owner, EventLog log) {
        this.loop = loop;
        this.settings = settings;
        this.headerNames = headerNames;
        this.owner = owner;
        this.log = log;
    }

    /**
     * Starts probing unless it has been started before; called with each version, because the version contains the
     * health path.
     */
    public void startOnce(ConfigurationVersion version) {
        Optional<String> path = version.healthPath(settings.service());
        if (started || path.isEmpty() || settings.backendAddress().getPort() == 0) {
            return;
        }
        started = true;
        sendProbe(path.get());
    }

    private void sendProbe(String path) {
        if (owner.backend().isPresent() || tries >= MAX_TRIES && owner.areDeparturesKnown()) {
            return;
        }
        tries++;
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        head.headers().set(HttpHeaderNames.HOST, settings.backendAddress().getHostString());
        ConnectionPool pool =
                new ConnectionPool(loop, settings.backendAddress(), CONNECT_TIMEOUT_MILLIS, MAX_IDLE_NANOS);
        BufferedHttpCall.start(loop, pool, head, EMPTY_BODY, TIMEOUT_MILLIS, MAX_RESPONSE_BYTES, result -> {
            pool.close();
            onResult(path, result);
        });
    }

    private void onResult(String path, BufferedHttpCall.Result result) {
        Optional<BackendReport> report = parseReport(result);
        log.write(
                Event.BACKEND_PROBED,
                "try",
                tries,
                "incarnation",
                report.map(r -> r.incarnation().text()).orElse(""),
                "answer",
                result instanceof BufferedHttpCall.Result.Completed response ? response.status() : 0);
        if (report.isPresent() && owner.backend().isEmpty()) {
            owner.onHealthy(report.get());
            keepSpeed(report.get(), (BufferedHttpCall.Result.Completed) result);
            return;
        }
        long delayMillis = tries < MAX_TRIES ? RETRY_DELAY_MILLIS : LATER_RETRY_DELAY_MILLIS;
        loop.schedule(() -> sendProbe(path), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void keepSpeed(BackendReport report, BufferedHttpCall.Result.Completed response) {
        owner.backend()
                .filter(server -> server.incarnation().equals(report.incarnation()))
                .ifPresent(server -> BackendLoadHeader.slowdown(
                                response.headers().get(headerNames.load()))
                        .ifPresent(factor -> server.speed().onFigure(factor, System.nanoTime())));
    }

    private Optional<BackendReport> parseReport(BufferedHttpCall.Result result) {
        if (!(result instanceof BufferedHttpCall.Result.Completed response) || response.status() != 200) {
            return Optional.empty();
        }
        String incarnation = response.headers().get(headerNames.incarnation(), "");
        String load = response.headers().get(headerNames.load());
        int slots = BackendLoadHeader.slots(load);
        boolean leaving = BackendStatements.isLeaving(response.headers(), headerNames);
        if (incarnation.isBlank() || slots < 1 || leaving) {
            return Optional.empty();
        }
        return Optional.of(new BackendReport(
                incarnation,
                settings.service(),
                settings.backendAddress(),
                settings.zone(),
                slots,
                BackendState.READY,
                SEQUENCE_BEFORE_FIRST_REPORT,
                0));
    }
}

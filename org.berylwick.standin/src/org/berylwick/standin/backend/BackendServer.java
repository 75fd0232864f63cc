package org.berylwick.standin.backend;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.TimeSource;
import org.berylwick.standin.QuickStop;

/**
 * Stands in for a service's instance, over HTTP/1.1 and HTTP/2 without TLS.
 *
 * <p>Any path is a request: it takes a slot, its body is read, it is counted as run, takes its time and is answered
 * with what was seen of it as JSON, or with {@code ?bytes=N} with N bytes of {@link Content}, a strong {@code ETag} and
 * {@code Range} support; {@code &bytes_per_s=M} paces them, {@code ?service_ms=T} takes longer. No free slot, or no
 * time left: 503 with {@code x-shed: true}, and the request is not run. {@code x-request-id} is echoed. Once
 * {@code x-request-timeout-ms} has passed the work stops with 504; a caller that gives up stops it too. A request with
 * {@code x-standin-chain: N} or {@code ?chain=N} calls on through the own daemon, N links deep, with what time remains.
 * {@code x-standin-fault: WORD} spoils this answer as {@link AnswerFault} says.
 *
 * <p>{@code GET /health}: 200 with {@code {"status":"ok"}}, or 503 with {@code draining}. {@code GET /load}: slots and
 * those taken. Under {@code /control}, whatever the method: {@code drain?on=}, {@code shed?on=},
 * {@code rate?per_second=}, {@code leaving?on=}, {@code slow?ms=}, {@code daemon?callers=HOST:PORT},
 * {@code health?says=true|well|ill|silent&lag_ms=}, {@code load?busy=}, {@code answers?fault=WORD&count=&late_ms=},
 * {@code runs}, {@code runs?id=&key=}.
 */
public final class BackendServer implements AutoCloseable {
    private final BackendFaults faults = new BackendFaults(TimeSource.SYSTEM);
    private final ChainCaller chain = new ChainCaller(TimeSource.SYSTEM);
    private final BackendOptions options;
    private final RunLedger ledger;
    private final BackendService service;
    private final Server server;
    private volatile HostPort bound;

    private record Health(String status) {}

    private record Load(int slots, int busy) {}

    /**
     * A backend server that listens on {@code address} from {@link #start()} on, with a ledger of its own.
     *
     * @param slots requests run at once; more are shed
     * @param serviceTime how long each takes
     */
    public BackendServer(String instance, HostPort address, int slots, Duration serviceTime) {
        this(instance, address, BackendOptions.DEFAULT.withSlots(slots).withServiceTime(serviceTime), new RunLedger());
    }

    /** A backend server that listens on {@code address} from {@link #start()} on and counts in {@code ledger}. */
    public BackendServer(String instance, HostPort address, BackendOptions options, RunLedger ledger) {
        bound = address;
        this.options = options;
        this.ledger = ledger;
        service = new BackendService(instance, options, faults, ledger, chain);
        server = Server.builder()
                .http(new InetSocketAddress(address.host(), address.port()))
                .requestTimeoutMillis(0)
                .maxRequestLength(0)
                .maxNumConnections(options.connections())
                .childChannelPipelineCustomizer(pipeline -> spend(options.connectionTime()))
                .service("/health", (ctx, req) -> health())
                .service("/load", (ctx, req) -> load())
                .serviceUnder("/control", new BackendControl(faults, ledger, chain))
                .serviceUnder("/", service)
                .build();
    }

    private static void spend(Duration time) {
        long until = System.nanoTime() + time.toNanos();
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }

    /** Begins to listen; the cold period begins. */
    public void start() {
        server.start().join();
        InetSocketAddress local = server.activePort().localAddress();
        bound = new HostPort(local.getAddress().getHostAddress(), local.getPort());
        service.startCold();
    }

    /** Where it listens, or listened until it was closed, with the real port. */
    public HostPort address() {
        return bound;
    }

    /** What is wrong with it. */
    public BackendFaults faults() {
        return faults;
    }

    /** The runs counted. */
    public RunLedger ledger() {
        return ledger;
    }

    /** Slots taken now. */
    public int busy() {
        return service.busy();
    }

    /** Connections open now. */
    public int connections() {
        return server.numConnections();
    }

    /** Names the callers' address of the daemon beside it, through which it calls on. */
    public void setDaemon(HostPort callers) {
        chain.setDaemon(callers);
    }

    private HttpResponse health() {
        return switch (faults.health()) {
            case WELL -> health(HttpStatus.OK, "ok");
            case ILL -> health(HttpStatus.SERVICE_UNAVAILABLE, "ill");
            case SILENT -> HttpResponse.of(new CompletableFuture<>());
            case TRUE ->
                faults.drainingShows()
                        ? health(HttpStatus.SERVICE_UNAVAILABLE, "draining")
                        : health(HttpStatus.OK, "ok");
        };
    }

    private static HttpResponse health(HttpStatus status, String word) {
        return HttpResponse.of(status, MediaType.JSON, HttpData.wrap(ConfigurationCodec.encode(new Health(word))));
    }

    private HttpResponse load() {
        Load load = new Load(options.slots(), faults.claimedBusy().orElse(service.busy()));
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, HttpData.wrap(ConfigurationCodec.encode(load)));
    }

    /** Stops to listen and cuts what runs, as when its VM fails. */
    @Override
    public void close() {
        QuickStop.stop(server);
    }
}

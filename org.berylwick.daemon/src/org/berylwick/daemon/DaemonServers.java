package org.berylwick.daemon;

import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.grpc.GrpcService;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.berylwick.daemon.call.CallPath;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.lib.HostPort;
import org.berylwick.transport.SpreadService;

/** The three listening sockets: callers, peers, operators. */
public final class DaemonServers implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "servers";

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration PING_INTERVAL = Duration.ofSeconds(5);
    private static final Duration QUIET_PERIOD = Duration.ofMillis(200);
    private static final Duration GRACE = Duration.ofSeconds(5);

    private final Consumer<HostPort> onPeersListening;
    private volatile Channel callersListener;
    private volatile boolean callersClosed;
    private final Server callers;
    private final Server peers;
    private final Server admin;

    /** Servers that listen from {@link #start()} on. */
    public DaemonServers(
            DaemonSettings.Listen listen,
            CallPath calls,
            Server adminServer,
            Optional<SpreadService> spread,
            Consumer<HostPort> onPeersListening) {
        this.onPeersListening = onPeersListening;
        callers = builder(listen.callers())
                .serviceUnder("/", calls.entryService())
                .childChannelPipelineCustomizer(
                        pipeline -> noteListener(pipeline.channel().parent()))
                .build();
        ServerBuilder peersBuilder = builder(listen.peers()).serviceUnder("/", calls.ownerService());
        spread.ifPresent(
                s -> peersBuilder.service(GrpcService.builder().addService(s).build()));
        peers = peersBuilder.build();
        admin = adminServer;
    }

    private static ServerBuilder builder(HostPort address) {
        return Server.builder()
                .http(new InetSocketAddress(address.host(), address.port()))
                .requestTimeoutMillis(0)
                .maxRequestLength(0)
                .idleTimeout(IDLE_TIMEOUT)
                .pingInterval(PING_INTERVAL)
                .gracefulShutdownTimeout(QUIET_PERIOD, GRACE);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        callers.start().join();
        peers.start().join();
        onPeersListening.accept(peersAddress());
        admin.start().join();
    }

    /** Where callers are served, with the real port. */
    public HostPort callersAddress() {
        return address(callers);
    }

    /** Where peers are served, with the real port. */
    public HostPort peersAddress() {
        return address(peers);
    }

    /** Where operators are served, with the real port. */
    public HostPort adminAddress() {
        return address(admin);
    }

    private static HostPort address(Server server) {
        InetSocketAddress bound = server.activePort().localAddress();
        return new HostPort(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /** The library closes a listening socket only together with all connections, so it is taken from one of them. */
    private void noteListener(Channel listener) {
        callersListener = listener;
        if (callersClosed) {
            listener.close();
        }
    }

    /** Lets nobody connect as a caller any more; connections that are open are served on. */
    public void closeCallersListener() {
        callersClosed = true;
        Channel listener = callersListener;
        if (listener != null) {
            listener.close();
        }
    }

    @Override
    public void close() {
        CompletableFuture.allOf(callers.stop(), peers.stop()).join();
        admin.stop().join();
    }
}

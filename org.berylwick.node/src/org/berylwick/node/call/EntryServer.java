package org.berylwick.node.call;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.lib.CallerLimits;
import org.berylwick.node.lib.MeshVersion;
import org.berylwick.node.transport.ReceiveWindow;

/** Takes the connections of callers on this VM; confined to the event loop. */
public final class EntryServer implements AutoCloseable {
    /** What callers may send while no version says so. */
    static final CallerLimits LIMITS_BEFORE_FIRST_VERSION =
            new CallerLimits(65_536, 64L << 20, 5_000_000_000L, 30_000_000_000L);

    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final long SWEEP_MILLIS = 500;
    private static final int BACKLOG = 1024;

    private final EntryServices services;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Set<EntryHandler> connections = new HashSet<>();
    private Channel listener;
    private boolean draining;
    private boolean refusing;

    EntryServer(EntryServices services, EventLoop loop, InetSocketAddress address) {
        this.services = services;
        this.loop = loop;
        this.address = address;
    }

    /** Opens the port. */
    public void start() {
        ServerBootstrap server = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        int headerBytes = limits().maxHeaderBytes();
                        channel.pipeline().addLast(new HttpServerCodec(headerBytes, headerBytes, MAX_CHUNK_BYTES));
                        channel.pipeline().addLast(new EntryHandler(EntryServer.this, services));
                    }
                });
        ReceiveWindow.limitReceiveBuffer(server, services.link());
        listener = server.bind(address).syncUninterruptibly().channel();
        loop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    private CallerLimits limits() {
        return services.version().get().map(MeshVersion::limits).orElse(LIMITS_BEFORE_FIRST_VERSION);
    }

    private void sweep() {
        long now = System.nanoTime();
        long idle = limits().idleTimeoutNanos();
        for (EntryHandler connection : List.copyOf(connections)) {
            connection.sweep(now, idle);
        }
        loop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    void add(EntryHandler connection) {
        connections.add(connection);
    }

    void remove(EntryHandler connection) {
        connections.remove(connection);
    }

    /** Whether connections are told to end with their next answer. */
    public boolean isDraining() {
        return draining;
    }

    /** Connections of callers. */
    public int size() {
        return connections.size();
    }

    /** Requests that are not answered yet. */
    public int pending() {
        int pending = 0;
        for (EntryHandler connection : connections) {
            if (connection.isBusy()) {
                pending++;
            }
        }
        return pending;
    }

    /**
     * Tells callers with each answer that their connection ends, and has every call end in time.
     *
     * @param endAt by when calls have their final answer, {@link System#nanoTime} terms
     */
    public void drain(long endAt) {
        draining = true;
        services.calls().endBy(endAt);
        for (EntryHandler connection : List.copyOf(connections)) {
            connection.endBy(endAt);
        }
    }

    /** Refuses requests that come from now on; those under way go on. */
    public void refuseNew() {
        refusing = true;
    }

    boolean isRefusing() {
        return refusing;
    }

    /** Takes no more connections, and ends those on which nothing is under way. */
    public void stopListening() {
        draining = true;
        if (listener != null) {
            listener.close();
        }
        for (EntryHandler connection : List.copyOf(connections)) {
            connection.closeIfIdle();
        }
    }

    @Override
    public void close() {
        stopListening();
    }
}

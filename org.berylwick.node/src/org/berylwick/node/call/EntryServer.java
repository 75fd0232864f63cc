package org.berylwick.node.call;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.lib.CallerLimits;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.transport.HeapReceiveAllocator;
import org.berylwick.node.transport.ReceiveWindow;

/** Accepts the connections of callers on this VM; confined to the event loop. */
public final class EntryServer implements AutoCloseable {
    /** Limits for callers until the first configuration version is installed. */
    private static final CallerLimits LIMITS_BEFORE_FIRST_VERSION =
            new CallerLimits(65_536, 64L << 20, 5_000_000_000L, 30_000_000_000L);

    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final long IDLE_CHECK_MILLIS = 500;
    private static final int ACCEPT_BACKLOG = 1024;

    private final EntryServices services;
    private final SingleThreadEventLoop eventLoop;
    private final InetSocketAddress address;
    private final Set<EntryHandler> connections = new HashSet<>();
    private Channel listenChannel;
    private boolean draining;
    private boolean refusingNew;

    EntryServer(EntryServices services, SingleThreadEventLoop eventLoop, InetSocketAddress address) {
        this.services = services;
        this.eventLoop = eventLoop;
        this.address = address;
    }

    /** Starts listening for callers. */
    public void start() {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new HeapReceiveAllocator())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        int headerBytes = limits().maxHeaderBytes();
                        channel.pipeline().addLast(new HttpServerCodec(headerBytes, headerBytes, MAX_CHUNK_BYTES));
                        channel.pipeline().addLast(new EntryHandler(EntryServer.this, services));
                    }
                });
        ReceiveWindow.limitReceiveBuffer(bootstrap, services.incomingLink());
        listenChannel = bootstrap.bind(address).syncUninterruptibly().channel();
        eventLoop.schedule(this::closeIdleConnections, IDLE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Limits for callers that are in force. */
    CallerLimits limits() {
        return services.version().get().map(ConfigurationVersion::limits).orElse(LIMITS_BEFORE_FIRST_VERSION);
    }

    private void closeIdleConnections() {
        long now = System.nanoTime();
        long idleTimeoutNanos = limits().idleTimeoutNanos();
        for (EntryHandler connection : List.copyOf(connections)) {
            connection.closeIfTimedOut(now, idleTimeoutNanos);
        }
        eventLoop.schedule(this::closeIdleConnections, IDLE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    void add(EntryHandler connection) {
        connections.add(connection);
    }

    void remove(EntryHandler connection) {
        connections.remove(connection);
    }

    /** Whether connections are closed after their next response. */
    public boolean isDraining() {
        return draining;
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Returns the number of requests that have not been answered completely. */
    public int pendingRequests() {
        int count = 0;
        for (EntryHandler connection : connections) {
            count += connection.pendingRequests();
        }
        return count;
    }

    /** Returns the number of requests in progress behind another one on the same connection. */
    int pipelinedRequests() {
        int count = 0;
        for (EntryHandler connection : connections) {
            count += connection.pipelinedRequests();
        }
        return count;
    }

    /**
     * Closes each connection after the last response in progress, and makes all calls end by a given time.
     *
     * @param concludeAt time by which calls get their final response, on the scale of {@link System#nanoTime}
     */
    public void drain(long concludeAt) {
        draining = true;
        services.callFactory().capDeadlines(concludeAt);
        for (EntryHandler connection : List.copyOf(connections)) {
            connection.concludeBy(concludeAt);
        }
    }

    /**
     * Refuses requests that arrive from now on if they might take longer than until the time given to {@link #drain}.
     */
    public void refuseLongRequests() {
        services.callFactory().refuseLongRequests();
    }

    /** Refuses requests that arrive from now on; those in progress go on. */
    public void refuseNewRequests() {
        refusingNew = true;
    }

    boolean isRefusingNew() {
        return refusingNew;
    }

    /** Stops accepting connections, and closes those without a request in progress. */
    public void stopListening() {
        draining = true;
        // The operating system accepts connections until the event loop polls again after the close, and resets them
        // then. So the close comes last before that.
        eventLoop.executeAfterEventLoopIteration(this::closeIdle);
    }

    private void closeIdle() {
        if (listenChannel != null && listenChannel.isOpen()) {
            readNow(listenChannel);
            listenChannel.close();
        }
        for (EntryHandler connection : List.copyOf(connections)) {
            connection.closeIfIdle();
        }
    }

    /** Accepts or reads what has arrived since the event loop has last looked. */
    static void readNow(Channel channel) {
        ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
    }

    @Override
    public void close() {
        stopListening();
    }
}

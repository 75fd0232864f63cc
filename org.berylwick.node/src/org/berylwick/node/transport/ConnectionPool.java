package org.berylwick.node.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;

/**
 * A pool of HTTP connections to one server; confined to the event loop.
 *
 * <p>The most recently used idle connection is handed out first.
 */
public final class ConnectionPool implements ServerConnectionPool {
    /**
     * A connection can go silent for good without a reset while new connections to the same server work. With these
     * settings TCP keepalive closes it within 5 s. Shorter intervals would cost traffic between availability zones on
     * every idle connection.
     */
    private static final int KEEPALIVE_IDLE_S = 3;

    private static final int KEEPALIVE_INTERVAL_S = 1;
    private static final int KEEPALIVE_PROBES = 2;

    /** A process that is ending may accept a last connection, which it closes within this time. */
    private static final long PROBE_WAIT_MILLIS = 10;

    private static final int MAX_PROBE_CONNECTIONS = 3;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final InetSocketAddress target;
    private final long maxIdleNanos;
    private final ArrayDeque<HttpConnection> idleConnections = new ArrayDeque<>();
    private final Set<HttpConnection> openConnections = new HashSet<>();
    private Consumer<ResponseFault> faultRecipient = fault -> {};
    private long openedCount;
    private boolean closed;

    /**
     * Creates an empty pool.
     *
     * @param loop event loop on which all connections run
     * @param target address of the server
     * @param connectTimeoutMillis time after which an attempt to connect fails
     * @param maxIdleNanos idle time after which a connection is not reused
     */
    public ConnectionPool(EventLoop loop, InetSocketAddress target, int connectTimeoutMillis, long maxIdleNanos) {
        this.loop = loop;
        this.target = target;
        this.maxIdleNanos = maxIdleNanos;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new HeapReceiveAllocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_IDLE_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_INTERVAL_S)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        EndOfStream endOfStream = new EndOfStream();
                        ResponseDecoder decoder = new ResponseDecoder();
                        channel.pipeline().addLast(endOfStream, new HttpRequestEncoder(), decoder);
                        channel.pipeline().addLast(createConnection(channel, endOfStream, decoder));
                    }
                });
    }

    /** Sets the recipient of faults in the responses of the server; without it, they are not reported. */
    public ConnectionPool onResponseFault(Consumer<ResponseFault> recipient) {
        faultRecipient = recipient;
        return this;
    }

    private HttpConnection createConnection(Channel channel, EndOfStream endOfStream, ResponseDecoder decoder) {
        return new HttpConnection(channel, target, endOfStream, decoder, new HttpConnection.Listener() {
            @Override
            public void onIdle(HttpConnection connection) {
                returnToPool(connection);
            }

            @Override
            public void onClosed(HttpConnection connection) {
                remove(connection);
            }

            @Override
            public void onFault(ResponseFault fault) {
                faultRecipient.accept(fault);
            }
        });
    }

    @Override
    public long openedCount() {
        return openedCount;
    }

    /** Returns the number of open connections, idle or in use. */
    public int size() {
        return openConnections.size();
    }

    /** Returns the address of the server that this pool connects to. */
    public InetSocketAddress target() {
        return target;
    }

    /**
     * Takes an idle connection out of the pool. Connections that have been idle for too long for any request are
     * closed; those that have only exceeded the limit of this request stay in the pool.
     *
     * @param idleLimitNanos maximum idle time of the connection
     * @return the connection, or null if there is none
     */
    public HttpConnection pollIdle(long idleLimitNanos) {
        long now = System.nanoTime();
        long effectiveLimitNanos = Math.min(idleLimitNanos, maxIdleNanos);
        while (!idleConnections.isEmpty()) {
            HttpConnection connection = idleConnections.peekFirst();
            if (connection.isIdle()
                    && now - connection.idleSince() <= usableIdleNanos(connection, effectiveLimitNanos)) {
                idleConnections.pollFirst();
                if (connection.isIdleAfterRead()) {
                    return connection;
                }
                continue;
            }
            if (connection.isIdle() && now - connection.idleSince() <= usableIdleNanos(connection, maxIdleNanos)) {
                return null;
            }
            idleConnections.pollFirst().abort();
        }
        return null;
    }

    private static long usableIdleNanos(HttpConnection connection, long limitNanos) {
        if (connection.keepAliveNanos() == 0) {
            return limitNanos;
        }
        // If the server closes the connection while a request is in transit, it is unknown whether the request ran. So
        // the idle time must stay at least one second, and at least one third, below the server's keep-alive time.
        return Math.min(
                limitNanos,
                Math.min(connection.keepAliveNanos() - 1_000_000_000L, connection.keepAliveNanos() * 2 / 3));
    }

    /**
     * Opens a new connection.
     *
     * @param onOpen receives the connection
     * @param onFailure receives the cause if no connection could be opened; nothing has been sent in that case
     */
    public void open(Consumer<ServerConnection> onOpen, Consumer<String> onFailure) {
        if (closed) {
            onFailure.accept("connection pool is closed");
            return;
        }
        connect(
                connection -> {
                    if (closed) {
                        connection.abort();
                        onFailure.accept("connection pool is closed");
                        return;
                    }
                    onOpen.accept(connection);
                },
                cause -> onFailure.accept("cannot connect: " + cause.getClass().getSimpleName()));
    }

    private void connect(Consumer<HttpConnection> onConnection, Consumer<Throwable> onFailure) {
        openedCount++;
        ChannelFuture connecting = bootstrap.connect(target);
        connecting.addListener(result -> {
            if (!result.isSuccess()) {
                onFailure.accept(result.cause());
                return;
            }
            HttpConnection connection = connecting.channel().pipeline().get(HttpConnection.class);
            openConnections.add(connection);
            onConnection.accept(connection);
        });
    }

    @Override
    public void probe(Consumer<ProbeResult> onResult) {
        probe(MAX_PROBE_CONNECTIONS, onResult);
    }

    private void probe(int maxConnections, Consumer<ProbeResult> onResult) {
        if (maxConnections == 0) {
            onResult.accept(ProbeResult.UNKNOWN);
            return;
        }
        connect(
                connection -> loop.schedule(
                        () -> {
                            if (connection.isIdle()) {
                                returnToPool(connection);
                                onResult.accept(ProbeResult.LISTENING);
                            } else {
                                probe(maxConnections - 1, onResult);
                            }
                        },
                        PROBE_WAIT_MILLIS,
                        TimeUnit.MILLISECONDS),
                cause -> onResult.accept(isRefusal(cause) ? ProbeResult.REFUSED : ProbeResult.UNKNOWN));
    }

    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    @Override
    public void acquire(long idleLimitNanos, Consumer<ServerConnection> onConnection, Consumer<String> onFailure) {
        HttpConnection connection = pollIdle(idleLimitNanos);
        if (connection != null) {
            onConnection.accept(connection);
            return;
        }
        open(onConnection, onFailure);
    }

    private void returnToPool(HttpConnection connection) {
        if (closed) {
            connection.abort();
            return;
        }
        idleConnections.addFirst(connection);
    }

    private void remove(HttpConnection connection) {
        openConnections.remove(connection);
        idleConnections.remove(connection);
    }

    @Override
    public void evictIdle() {
        long now = System.nanoTime();
        while (!idleConnections.isEmpty()) {
            HttpConnection oldest = idleConnections.peekLast();
            if (now - oldest.idleSince() <= usableIdleNanos(oldest, maxIdleNanos)) {
                return;
            }
            idleConnections.pollLast().abort();
        }
    }

    @Override
    public void close() {
        closed = true;
        while (!idleConnections.isEmpty()) {
            idleConnections.pollFirst().abort();
        }
    }
}

package org.berylwick.node.call;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongFunction;
import org.berylwick.node.transport.HeapReceiveAllocator;
import org.berylwick.node.transport.ReceiveWindow;
import org.berylwick.node.transport.VmLink;

/** Accepts connections from other nodes. */
public final class PeerServer implements AutoCloseable {
    private static final int MAX_HEADER_BYTES = 131_072;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int ACCEPT_BACKLOG = 1024;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Owner owner;
    private final VmLink link;
    private final LongFunction<Optional<byte[]>> versionUpdates;
    private final Map<Channel, PeerHandler> handlers = new HashMap<>();
    private Channel listenChannel;

    /**
     * @param loop event loop of this server and its connections
     * @param address address to listen on
     * @param owner runs the requests at the backend server of this node
     * @param link network link of this VM
     * @param versionUpdates returns the encoded update from the version with the given number, which another node has,
     *     to the current one; empty if there is none
     */
    public PeerServer(
            EventLoop loop,
            InetSocketAddress address,
            Owner owner,
            VmLink link,
            LongFunction<Optional<byte[]>> versionUpdates) {
        this.loop = loop;
        this.address = address;
        this.owner = owner;
        this.link = link;
        this.versionUpdates = versionUpdates;
    }

    /** Starts listening. */
    public void start() {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new HeapReceiveAllocator())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(MAX_HEADER_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES));
                        PeerHandler handler = new PeerHandler(owner, link, versionUpdates);
                        channel.pipeline().addLast(handler);
                        handlers.put(channel, handler);
                        channel.closeFuture().addListener(future -> handlers.remove(channel));
                    }
                });
        ReceiveWindow.limitReceiveBuffer(bootstrap, link.incoming());
        listenChannel = bootstrap.bind(address).syncUninterruptibly().channel();
    }

    /** Response bytes that have not been written to the sockets yet. */
    public long unsentBytes() {
        long bytes = 0;
        for (Channel channel : handlers.keySet()) {
            ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
            bytes += buffer == null ? 0 : buffer.totalPendingWriteBytes();
        }
        return bytes;
    }

    /** Whether a response has not been sent completely. */
    public boolean isSending() {
        return unsentBytes() > 0 || handlers.values().stream().anyMatch(PeerHandler::isResponding);
    }

    @Override
    public void close() {
        if (listenChannel != null) {
            listenChannel.close();
        }
    }
}

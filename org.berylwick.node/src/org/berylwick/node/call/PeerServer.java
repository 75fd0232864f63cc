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
import org.berylwick.node.transport.ReceiveWindow;
import org.berylwick.node.transport.VmLink;

/** Takes the connections of other nodes. */
public final class PeerServer implements AutoCloseable {
    private static final int MAX_HEADER_BYTES = 131_072;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int BACKLOG = 1024;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Owner owner;
    private final VmLink link;
    private final LongFunction<Optional<byte[]>> delivery;
    private final Map<Channel, PeerHandler> connections = new HashMap<>();
    private Channel listener;

    /**
     * @param loop all runs on it
     * @param address to listen on
     * @param owner takes their requests
     * @param link of this VM
     * @param delivery what a node needs to get the version in force, by the number of the one it has
     */
    public PeerServer(
            EventLoop loop,
            InetSocketAddress address,
            Owner owner,
            VmLink link,
            LongFunction<Optional<byte[]>> delivery) {
        this.loop = loop;
        this.address = address;
        this.owner = owner;
        this.link = link;
        this.delivery = delivery;
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
                        channel.pipeline()
                                .addLast(new HttpServerCodec(MAX_HEADER_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES));
                        PeerHandler handler = new PeerHandler(owner, link, delivery);
                        channel.pipeline().addLast(handler);
                        connections.put(channel, handler);
                        channel.closeFuture().addListener(f -> connections.remove(channel));
                    }
                });
        ReceiveWindow.limitReceiveBuffer(server, link.incoming());
        listener = server.bind(address).syncUninterruptibly().channel();
    }

    /** Bytes of answers that the system has not taken yet. */
    public long unsentBytes() {
        long bytes = 0;
        for (Channel channel : connections.keySet()) {
            ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
            bytes += buffer == null ? 0 : buffer.totalPendingWriteBytes();
        }
        return bytes;
    }

    /** Whether an answer has not left yet. */
    public boolean isSending() {
        return unsentBytes() > 0 || connections.values().stream().anyMatch(PeerHandler::isAnswering);
    }

    @Override
    public void close() {
        if (listener != null) {
            listener.close();
        }
    }
}

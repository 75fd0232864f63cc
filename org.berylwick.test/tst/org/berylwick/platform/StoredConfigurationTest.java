package org.berylwick.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.berylwick.node.transport.BufferedHttpServer;
import org.berylwick.node.version.ConfigurationSource.Consistency;
import org.berylwick.node.version.ConfigurationSource.ReadResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The store's revision has advanced since the configuration last changed, and the store retains only recent history. A
 * watch from the object's own revision would be told that the history is gone, and the node would read and watch again
 * in an endless loop. A watch from the list's revision succeeds.
 */
class StoredConfigurationTest {
    private static final int LIST_REVISION = 300;
    private static final int OLDEST_RETAINED_REVISION = 290;
    private static final String OBJECT =
            "{\"metadata\":{\"name\":\"main\",\"rev\":15},\"spec\":{\"version\":\"0000000a\"}}";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final List<String> requestedUris = new CopyOnWriteArrayList<>();
    private BufferedHttpServer server;
    private StoredConfiguration configuration;

    private BufferedHttpServer.Response respond(BufferedHttpServer.Request request) {
        requestedUris.add(request.uri());
        int watchStart = request.uri().indexOf("watch=");
        if (watchStart < 0) {
            return jsonResponse("{\"items\":[" + OBJECT + "],\"more\":false,\"asOf\":" + LIST_REVISION + "}");
        }
        int revision = Integer.parseInt(
                request.uri().substring(watchStart + 6, request.uri().indexOf('&')));
        if (revision < OLDEST_RETAINED_REVISION) {
            return BufferedHttpServer.Response.ofStatus(410);
        }
        return jsonResponse("{\"events\":[],\"asOf\":" + (LIST_REVISION + 1) + "}");
    }

    private static BufferedHttpServer.Response jsonResponse(String text) {
        return BufferedHttpServer.Response.of("application/json", text.getBytes(StandardCharsets.UTF_8));
    }

    @BeforeEach
    void openServer() {
        server = BufferedHttpServer.open(loop, new InetSocketAddress("127.0.0.1", 0), this::respond);
        configuration =
                new StoredConfiguration(new ObjectStore(loop, new InetSocketAddress("127.0.0.1", server.port())));
    }

    @AfterEach
    void closeServer() {
        server.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private ReadResult await(Consumer<Consumer<ReadResult>> call) throws Exception {
        CompletableFuture<ReadResult> result = new CompletableFuture<>();
        loop.execute(() -> call.accept(result::complete));
        return result.get(10, TimeUnit.SECONDS);
    }

    @Test
    void watchContinuesFromTheListRevision() throws Exception {
        ReadResult.Found found =
                assertInstanceOf(ReadResult.Found.class, await(a -> configuration.read(Consistency.LINEARIZABLE, a)));
        assertEquals(10, found.version().number());
        ReadResult next = await(a -> configuration.watch(found.revision(), 100, a));
        assertEquals(new ReadResult.Unchanged(LIST_REVISION + 1), next);
        assertInstanceOf(ReadResult.HistoryGone.class, await(a -> configuration.watch(15, 100, a)));
    }

    /**
     * A node polls the store in case neither a watch nor another node announced a new version. Such a poll accepts a
     * list that is seconds old, which costs a tenth of a current one.
     */
    @Test
    void staleListIsRequestedOnlyWhenAllowed() throws Exception {
        await(a -> configuration.read(Consistency.STALE_ALLOWED, a));
        await(a -> configuration.read(Consistency.LINEARIZABLE, a));
        assertEquals(List.of("/objects/config?serializable=1", "/objects/config"), requestedUris);
    }
}

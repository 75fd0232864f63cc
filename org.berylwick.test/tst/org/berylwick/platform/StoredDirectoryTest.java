package org.berylwick.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.berylwick.node.member.NodeDirectory.Entry;
import org.berylwick.node.member.NodeDirectory.ReadResult;
import org.berylwick.node.member.NodeDirectory.WriteResult;
import org.berylwick.standin.objects.ObjectApiServer;
import org.berylwick.testing.RawServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests how a node's entry is written to the platform's object store. */
@Timeout(30)
class StoredDirectoryTest {
    private static final long TIMEOUT_MILLIS = 2_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private ObjectApiServer server;
    private StoredDirectory directory;

    @BeforeEach
    void startStore() throws IOException {
        server = new ObjectApiServer();
        directory = new StoredDirectory(new ObjectStore(loop, new InetSocketAddress("127.0.0.1", server.port())));
    }

    @AfterEach
    void stopStore() {
        server.close();
        group.shutdownGracefully();
    }

    private static Entry entry(String... departures) {
        return new Entry("vm-1", "10.0.0.1", List.of(), List.of(departures));
    }

    private WriteResult await(Consumer<Consumer<WriteResult>> call) {
        CompletableFuture<WriteResult> result = new CompletableFuture<>();
        loop.execute(() -> call.accept(result::complete));
        return result.join();
    }

    private WriteResult create(Entry entry) {
        return await(onResult -> directory.create(entry, TIMEOUT_MILLIS, onResult));
    }

    private WriteResult replace(Entry entry, long revision) {
        return await(onResult -> directory.replace(entry, revision, TIMEOUT_MILLIS, onResult));
    }

    /**
     * Guards against a departure that counts as recorded although it is not: the response to a write contains the
     * object that was written, and one with another object belongs to another call.
     */
    @Test
    void responseWithAnotherObjectDoesNotConfirmWrite() {
        String body = "{\"metadata\":{\"name\":\"vm-2\",\"rev\":7},\"spec\":{}}";
        try (RawServer store = new RawServer((c, r) -> {
            c.read(Integer.parseInt(r.header("content-length")));
            c.write("HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body);
        })) {
            InetSocketAddress address =
                    new InetSocketAddress("127.0.0.1", store.address().port());
            directory = new StoredDirectory(new ObjectStore(loop, address));
            assertInstanceOf(WriteResult.Failed.class, create(entry("i-1")));
            assertInstanceOf(WriteResult.Failed.class, replace(entry("i-1"), 5));
        }
    }

    @Test
    void existingEntryIsReturnedWithItsDepartures() {
        long revision = assertInstanceOf(WriteResult.Written.class, create(entry("i-1", "i-2")))
                .revision();
        WriteResult.Conflict conflict = assertInstanceOf(WriteResult.Conflict.class, create(entry()));
        assertEquals(entry("i-1", "i-2"), conflict.stored());
        assertEquals(revision, conflict.revision());
    }

    /** Guards against a write that the store executes late and that drops what was written since. */
    @Test
    void writeOfAnOlderRevisionChangesNothing() {
        long first =
                assertInstanceOf(WriteResult.Written.class, create(entry())).revision();
        long second = assertInstanceOf(WriteResult.Written.class, replace(entry("i-1"), first))
                .revision();
        assertTrue(second > first);
        WriteResult.Conflict conflict = assertInstanceOf(WriteResult.Conflict.class, replace(entry("i-2"), first));
        assertEquals(entry("i-1"), conflict.stored());
        assertEquals(second, conflict.revision());
    }

    private ReadResult read(String vmName) {
        CompletableFuture<ReadResult> result = new CompletableFuture<>();
        loop.execute(() -> directory.read(vmName, TIMEOUT_MILLIS, result::complete));
        return result.join();
    }

    /** Guards against a name in a datagram that leads to another object. */
    @Test
    void entryIsReadByItsWholeName() {
        create(entry("i-1"));
        assertEquals(new ReadResult.Found(entry("i-1")), read("vm-1"));
        assertEquals(new ReadResult.Missing(), read("vm-2"));
        assertEquals(new ReadResult.Missing(), read("vm-1?x=1"));
    }

    @Test
    void missingEntryIsNotReplaced() {
        assertEquals(new WriteResult.Missing(), replace(entry(), 1));
    }

    @Test
    void refusedWriteFails() {
        server.setTrouble(ObjectApiServer.Trouble.BUSY);
        assertInstanceOf(WriteResult.Failed.class, create(entry()));
    }
}

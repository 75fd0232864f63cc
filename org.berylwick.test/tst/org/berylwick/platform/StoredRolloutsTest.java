package org.berylwick.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.berylwick.node.lib.RolloutPhase;
import org.berylwick.node.rollout.RolloutOrders.ListResult;
import org.berylwick.node.rollout.RolloutOrders.Order;
import org.berylwick.standin.objects.ObjectApiServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Reads and answers the operator's roll-outs in the form of the platform. */
class StoredRolloutsTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private ObjectApiServer server;
    private StoredRollouts rollouts;

    @BeforeEach
    void open() throws IOException {
        server = new ObjectApiServer();
        rollouts = new StoredRollouts(new ObjectStore(loop, new InetSocketAddress("127.0.0.1", server.port())));
    }

    @AfterEach
    void close() {
        server.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private <T> T await(Consumer<Consumer<T>> call) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> call.accept(result::complete));
        return result.get(10, TimeUnit.SECONDS);
    }

    private List<Order> list() throws Exception {
        return assertInstanceOf(ListResult.Listed.class, this.<ListResult>await(rollouts::list))
                .orders();
    }

    private void order(String name, String spec) throws IOException {
        server.put("rollouts", name, MAPPER.readTree(spec));
    }

    private boolean tell(Order order, RolloutPhase phase) throws Exception {
        return this.<Boolean>await(onResult -> rollouts.tell(order, phase, onResult));
    }

    @Test
    void orderIsReadAndAnswered() throws Exception {
        order("work", "{\"service\":\"work\",\"targetVersion\":\"v2\",\"durationS\":12.5}");
        Order order = list().get(0);
        assertEquals("work", order.service());
        assertEquals("v2", order.targetVersion());
        assertEquals(12_500_000_000L, order.durationNanos());
        assertEquals(Optional.empty(), order.told());
        assertTrue(tell(order, RolloutPhase.TRIAL));
        assertEquals(
                MAPPER.readTree("{\"state\":\"running\",\"targetVersion\":\"v2\"}"), server.status("rollouts", "work"));
        Order running = list().get(0);
        assertEquals(Optional.of(RolloutPhase.TRIAL), running.told());
        assertEquals(order.createdRevision(), running.createdRevision());
        assertTrue(tell(running, RolloutPhase.COMPLETE));
        assertEquals("complete", server.status("rollouts", "work").path("state").asText());
    }

    /** Guards against a writer that contradicts an outcome which another node has written meanwhile. */
    @Test
    void secondWriterOfOneRevisionIsRefused() throws Exception {
        order("work", "{\"service\":\"work\",\"targetVersion\":\"v2\",\"durationS\":10}");
        Order order = list().get(0);
        assertTrue(tell(order, RolloutPhase.ROLLED_BACK));
        assertFalse(tell(order, RolloutPhase.COMPLETE));
        assertEquals(
                "rolled_back", server.status("rollouts", "work").path("state").asText());
    }

    /** Guards against an outcome of an earlier order being taken for that of the one that replaced it. */
    @Test
    void outcomeOfAnotherVersionSaysNothing() throws Exception {
        order("work", "{\"service\":\"work\",\"targetVersion\":\"v2\",\"durationS\":10}");
        assertTrue(tell(list().get(0), RolloutPhase.COMPLETE));
        order("work", "{\"service\":\"work\",\"targetVersion\":\"v3\",\"durationS\":10}");
        assertEquals(Optional.empty(), list().get(0).told());
    }

    /** Guards against an entry that cannot be read hiding the others, or being carried out as something else. */
    @Test
    void entriesThatCannotBeReadAreSkipped() throws Exception {
        order("a", "{\"service\":\"a\",\"durationS\":10}");
        order("b", "{\"service\":\"b\",\"targetVersion\":\"v2\",\"durationS\":-1}");
        order("c", "\"text\"");
        order("d", "{\"service\":\"d\",\"targetVersion\":\"v2\",\"durationS\":10}");
        assertEquals(List.of("d"), list().stream().map(Order::service).toList());
    }

    /** Guards against a store in trouble being taken for one without orders. */
    @Test
    void failureIsNoEmptyList() throws Exception {
        server.setTrouble(ObjectApiServer.Trouble.BUSY);
        assertInstanceOf(ListResult.Failed.class, this.<ListResult>await(rollouts::list));
    }
}

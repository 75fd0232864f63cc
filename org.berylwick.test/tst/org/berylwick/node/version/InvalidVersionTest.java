package org.berylwick.node.version;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.member.MemberTable;
import org.berylwick.testing.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The configuration in the store is not a valid version for a while, and is then mended. */
@Timeout(60)
class InvalidVersionTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final EventLog log = new EventLog("test", OutputStream.nullOutputStream());
    private final Counters counters = new Counters();
    private final Store store = new Store();
    private final VersionUpdater updater = new VersionUpdater(
            loop,
            store,
            new MemberTable(ip -> null, (member, cause) -> {}),
            "z",
            () -> true,
            origin -> {},
            counters,
            log);

    /** Holds an invalid version, and answers a watch when that is called for. */
    private static final class Store implements ConfigurationSource {
        private ReadResult current = new ReadResult.Invalid("weight is missing", 7);
        private final List<Long> watched = new ArrayList<>();
        private Consumer<ReadResult> watcher = result -> {};

        @Override
        public void read(Consistency consistency, Consumer<ReadResult> onResult) {
            onResult.accept(current);
        }

        @Override
        public void watch(long revision, long maxWaitMillis, Consumer<ReadResult> onResult) {
            watched.add(revision);
            watcher = onResult;
        }

        @Override
        public ReadResult decode(byte[] encoded) {
            return current;
        }

        void change(ReadResult result) {
            current = result;
            watcher.accept(result);
        }
    }

    @AfterEach
    void close() {
        log.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private <T> T onLoop(Callable<T> call) {
        return loop.submit(call).syncUninterruptibly().getNow();
    }

    private void awaitWatch(List<Long> revisions) {
        Supplier<List<Long>> watched = () -> onLoop(() -> List.copyOf(store.watched));
        Await.until("watch", () -> watched.get().equals(revisions), watched::get);
    }

    /** Guards against a store that is read ten times a second by each node while its version is invalid. */
    @Test
    void invalidVersionIsWatchedUntilItIsMended() {
        loop.execute(updater::start);
        awaitWatch(List.of(7L));
        loop.execute(() -> store.change(new ConfigurationSource.ReadResult.Invalid("weight is missing", 8)));
        awaitWatch(List.of(7L, 8L));
        assertTrue(onLoop(() -> counters.count(NodeMetricNames.STORE_ENTRIES_UNUSABLE)) >= 2);
        ConfigurationVersion mended = new ConfigurationVersion.Builder(3, new byte[0]).build();
        loop.execute(() -> store.change(new ConfigurationSource.ReadResult.Found(mended, 9)));
        awaitWatch(List.of(7L, 8L, 9L));
        assertEquals(3, onLoop(() -> updater.version().orElseThrow().number()));
        // The version in force is kept when the one in the store turns invalid.
        loop.execute(() -> store.change(new ConfigurationSource.ReadResult.Invalid("weight is missing", 10)));
        awaitWatch(List.of(7L, 8L, 9L, 10L));
        assertEquals(3, onLoop(() -> updater.version().orElseThrow().number()));
    }
}

package org.berylwick.node;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.berylwick.node.lib.ConfigurationVersion;
import org.berylwick.node.version.ConfigurationSource;

/** An in-memory store of configuration versions that the nodes of a test share; it can be made unavailable. */
final class InMemoryConfigurationStore {
    /** Incompressible filler that makes a version about as long as one with 600 routes. */
    private static final String FILLER = new Random(1)
            .longs(8_000)
            .mapToObj(Long::toHexString)
            .map(text -> text.substring(Math.max(0, text.length() - 12)))
            .collect(Collectors.joining(","));

    private final Map<Long, ConfigurationVersion> versions = new ConcurrentHashMap<>();
    private final List<Runnable> watchers = new ArrayList<>();
    private long newestNumber;
    private boolean unavailable;

    /** Stores a version as the newest accepted one and notifies the watchers. */
    synchronized void publish(ConfigurationVersion version) {
        versions.put(version.number(), version);
        newestNumber = version.number();
        List<Runnable> waiting = new ArrayList<>(watchers);
        watchers.clear();
        waiting.forEach(Runnable::run);
    }

    /** Stores a version as the newest accepted one and notifies nobody, as if all watches were dead. */
    synchronized void publishWithoutNotice(ConfigurationVersion version) {
        versions.put(version.number(), version);
        newestNumber = version.number();
    }

    /** Adds a version that the nodes can decode but not read from the store, as if only another node had it. */
    synchronized void addUnpublished(ConfigurationVersion version) {
        versions.put(version.number(), version);
    }

    synchronized void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    private synchronized ConfigurationSource.ReadResult read() {
        if (unavailable) {
            return new ConfigurationSource.ReadResult.Failed("store unavailable");
        }
        if (newestNumber == 0) {
            return new ConfigurationSource.ReadResult.Missing();
        }
        return new ConfigurationSource.ReadResult.Found(versions.get(newestNumber), newestNumber);
    }

    private synchronized void watch(long revision, Runnable onChange) {
        if (unavailable || newestNumber > revision) {
            onChange.run();
            return;
        }
        watchers.add(onChange);
    }

    static byte[] encodedVersion(long number) {
        return (number + " " + FILLER).getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns the store as seen by the node with the given event loop. */
    ConfigurationSource sourceFor(EventLoop loop) {
        return new ConfigurationSource() {
            @Override
            public void read(Consistency consistency, Consumer<ReadResult> onResult) {
                loop.execute(() -> onResult.accept(InMemoryConfigurationStore.this.read()));
            }

            @Override
            public void watch(long revision, long maxWaitMillis, Consumer<ReadResult> onResult) {
                InMemoryConfigurationStore.this.watch(
                        revision, () -> loop.execute(() -> onResult.accept(InMemoryConfigurationStore.this.read())));
            }

            @Override
            public ReadResult decode(byte[] encoded) {
                String text = new String(encoded, StandardCharsets.US_ASCII);
                long number = Long.parseLong(text.substring(0, text.indexOf(' ')));
                return new ReadResult.Found(versions.get(number), 0);
            }
        };
    }
}

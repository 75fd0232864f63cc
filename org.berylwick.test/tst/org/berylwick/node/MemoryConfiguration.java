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

/** The place where versions are kept, in memory, shared by the nodes of a test; it can be out of reach. */
final class MemoryConfiguration {
    /** Makes a version about as long as one with 600 routes. */
    private static final String ROUTES = new Random(1)
            .longs(8_000)
            .mapToObj(Long::toHexString)
            .map(text -> text.substring(Math.max(0, text.length() - 12)))
            .collect(Collectors.joining(","));

    private final Map<Long, ConfigurationVersion> versions = new ConcurrentHashMap<>();
    private final List<Runnable> watchers = new ArrayList<>();
    private long newest;
    private boolean down;

    /** Accepts a version. */
    synchronized void accept(ConfigurationVersion version) {
        versions.put(version.number(), version);
        newest = version.number();
        List<Runnable> waiting = new ArrayList<>(watchers);
        watchers.clear();
        waiting.forEach(Runnable::run);
    }

    /** Makes a version readable that only another node has so far. */
    synchronized void keep(ConfigurationVersion version) {
        versions.put(version.number(), version);
    }

    synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    private synchronized ConfigurationSource.Answer read() {
        if (down) {
            return new ConfigurationSource.Answer.Failed("down");
        }
        if (newest == 0) {
            return new ConfigurationSource.Answer.Missing();
        }
        return new ConfigurationSource.Answer.Found(versions.get(newest), newest);
    }

    private synchronized void watch(long revision, Runnable onChange) {
        if (down || newest > revision) {
            onChange.run();
            return;
        }
        watchers.add(onChange);
    }

    static byte[] sourceOf(long number) {
        return (number + " " + ROUTES).getBytes(StandardCharsets.US_ASCII);
    }

    /** What one node sees of it. */
    ConfigurationSource on(EventLoop loop) {
        return new ConfigurationSource() {
            @Override
            public void read(Freshness freshness, Consumer<Answer> onAnswer) {
                loop.execute(() -> onAnswer.accept(MemoryConfiguration.this.read()));
            }

            @Override
            public void watch(long revision, long waitMillis, Consumer<Answer> onAnswer) {
                MemoryConfiguration.this.watch(
                        revision, () -> loop.execute(() -> onAnswer.accept(MemoryConfiguration.this.read())));
            }

            @Override
            public Answer decode(byte[] source) {
                String text = new String(source, StandardCharsets.US_ASCII);
                long number = Long.parseLong(text.substring(0, text.indexOf(' ')));
                return new Answer.Found(versions.get(number), 0);
            }
        };
    }
}

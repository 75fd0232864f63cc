package org.berylwick.bench.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One child process whose output is read line by line. */
public final class ChildProcess implements AutoCloseable {
    private static final int KEPT_LINES = 5_000;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);

    private final String name;
    private final Process process;
    private final List<String> lines = new ArrayList<>();
    private final List<Awaited> awaited = new ArrayList<>();
    private Consumer<String> listener = line -> {};

    private record Awaited(Pattern pattern, CompletableFuture<Matcher> future) {}

    private ChildProcess(String name, Process process) {
        this.name = name;
        this.process = process;
        Thread.ofVirtual().name("output of " + name).start(this::readOutput);
    }

    /**
     * Starts a program.
     *
     * @param environment added to this process's own
     */
    public static ChildProcess start(String name, java.util.Map<String, String> environment, List<String> command) {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(environment);
        try {
            return new ChildProcess(name, builder.start());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + name, e);
        }
    }

    private void readOutput() {
        try (BufferedReader reader = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                take(line);
            }
        } catch (IOException e) {
            take("(output lost: " + e + ")");
        }
    }

    private synchronized void take(String line) {
        if (lines.size() == KEPT_LINES) {
            lines.removeFirst();
        }
        lines.add(line);
        listener.accept(line);
        awaited.removeIf(a -> {
            Matcher m = a.pattern.matcher(line);
            return m.find() && a.future.complete(m);
        });
    }

    /** Waits for a line of output, past or to come, in which the pattern is found. */
    public Matcher awaitLine(Pattern pattern, Duration timeout) {
        CompletableFuture<Matcher> future = new CompletableFuture<>();
        synchronized (this) {
            for (String line : lines) {
                Matcher m = pattern.matcher(line);
                if (m.find()) {
                    return m;
                }
            }
            awaited.add(new Awaited(pattern, future));
        }
        try {
            return future.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new IllegalStateException(
                    name + " did not print /" + pattern + "/ in time; it printed:\n" + output(), e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Has every line of output, those kept so far included, passed to {@code consumer}, which must not block. */
    public synchronized void onLine(Consumer<String> consumer) {
        lines.forEach(consumer);
        listener = consumer;
    }

    /** The last lines of output. */
    public synchronized String output() {
        return String.join("\n", lines);
    }

    /** What it was started as. */
    public String name() {
        return name;
    }

    /** The process itself. */
    public Process process() {
        return process;
    }

    /** Sends a signal by name, such as {@code STOP}. */
    public void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks it to stop and waits; ends it hard if it does not. */
    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}

package org.berylwick.node.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Writes one JSON line an event, from a thread of its own.
 *
 * <p>Lines pass a bounded ring. A full ring drops the line and counts it, since a reader that stalls must not hold up
 * calls; the count is a metric.
 */
public final class EventLog implements AutoCloseable {
    /** Lines waiting to be written; at 300 bytes a line this is 300 KB. */
    private static final int QUEUE_CAPACITY = 1024;

    private static final long CLOSE_TIMEOUT_MILLIS = 200;
    /** Ends the writer's wait for a line. */
    private static final String WAKE_UP = "";

    private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final LongAdder droppedLines = new LongAdder();
    private final OutputStream out;
    private final String nodeName;
    private final Thread writer;
    private final LineRateLimiter[] rateLimiters = new LineRateLimiter[Event.values().length];
    private volatile boolean closed;

    /**
     * @param nodeName name that stands in each line
     * @param out takes the lines
     */
    public EventLog(String nodeName, OutputStream out) {
        this.nodeName = nodeName;
        this.out = out;
        for (Event event : Event.values()) {
            rateLimiters[event.ordinal()] = new LineRateLimiter(event.maxLinesPerSecond());
        }
        this.writer = new Thread(this::writeQueuedLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Adds a line without waiting.
     *
     * @param event what happened
     * @param fields names and values by turns; ids and numbers, never bodies or secrets
     */
    public void write(Event event, Object... fields) {
        int suppressedLines = rateLimiters[event.ordinal()].admit(System.nanoTime());
        if (suppressedLines < 0) {
            return;
        }
        if (!queue.offer(formatLine(event, fields, suppressedLines))) {
            droppedLines.increment();
        }
    }

    /** Lines dropped so far because the ring was full. */
    public long droppedLines() {
        return droppedLines.sum();
    }

    private String formatLine(Event event, Object[] fields, int suppressedLines) {
        StringBuilder line = new StringBuilder(256);
        line.append("{\"t\":").append(System.currentTimeMillis());
        line.append(",\"node\":\"").append(nodeName);
        line.append("\",\"event\":").append(event.number());
        line.append(",\"name\":\"").append(event.name()).append('"');
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(",\"").append(fields[i]).append("\":");
            appendValue(line, fields[i + 1]);
        }
        if (suppressedLines > 0) {
            line.append(",\"leftOut\":").append(suppressedLines);
        }
        return line.append("}\n").toString();
    }

    private static void appendValue(StringBuilder line, Object value) {
        if (value instanceof Number || value instanceof Boolean) {
            line.append(value);
            return;
        }
        line.append('"');
        String string = String.valueOf(value);
        for (int i = 0; i < string.length(); i++) {
            char c = string.charAt(i);
            if (c == '"' || c == '\\') {
                line.append('\\').append(c);
            } else if (c < ' ') {
                line.append(' ');
            } else {
                line.append(c);
            }
        }
        line.append('"');
    }

    private void writeQueuedLines() {
        StringBuilder batch = new StringBuilder();
        while (!closed || !queue.isEmpty()) {
            try {
                String first = queue.poll(500, TimeUnit.MILLISECONDS);
                if (first == null) {
                    continue;
                }
                batch.append(first);
                for (String next = queue.poll(); next != null; next = queue.poll()) {
                    batch.append(next);
                }
                out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
                batch.setLength(0);
            } catch (InterruptedException e) {
                return;
            } catch (IOException e) {
                // Whoever read the lines is gone; the node serves on without a log and counts what it lost.
                batch.setLength(0);
                droppedLines.increment();
            }
        }
    }

    /** Writes what is left, for a moment at the most: a process that is told to stop has no more. */
    @Override
    public void close() {
        closed = true;
        queue.offer(WAKE_UP);
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package org.berylwick.node.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Writes one JSON line per event, from a thread of its own.
 *
 * <p>Lines pass through a bounded queue. If it is full, the line is dropped and counted, since a log reader that stalls
 * must not delay calls. The number of dropped lines is a metric.
 */
public final class EventLog implements AutoCloseable {
    /** Maximum number of lines waiting to be written; at 300 bytes per line this is 300 KB. */
    private static final int QUEUE_CAPACITY = 1024;

    private static final long CLOSE_TIMEOUT_MILLIS = 200;
    /** Queued to end the wait of the writer thread for the next line. */
    private static final String WAKE_UP = "";

    private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final LongAdder droppedLines = new LongAdder();
    private final OutputStream out;
    private final String nodeName;
    private final Thread writer;
    private final LineRateLimiter[] rateLimiters = new LineRateLimiter[Event.values().length];
    private volatile boolean closed;

    /**
     * Starts the writer thread.
     *
     * @param nodeName name of this node, written in each line
     * @param out stream to which the lines are written
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
     * Queues a line without blocking.
     *
     * @param event event to log
     * @param fields alternating names and values; identifiers and numbers, never bodies or secrets
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

    /**
     * Returns how many lines were lost so far because the queue was full, plus the number of failed writes, each of
     * which may have lost several lines.
     */
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
                // The reader of the log has closed it. The node goes on without a log and counts the failed write.
                batch.setLength(0);
                droppedLines.increment();
            }
        }
    }

    /** Writes the queued lines for a short time only, since a process that was asked to stop has little time left. */
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

package org.berylwick.internal.event;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.MarkerManager;
import org.berylwick.lib.TimeSource;

/**
 * Logs events under their numbers.
 *
 * <p>The number travels as the marker, which the JSON layout writes into the field {@code event}. Warnings and errors
 * of one kind from one class are limited to one a second, since a lost store or peer would otherwise write a line for
 * every request; the next line says how many were left out. Any thread may log.
 */
public final class EventLog {
    private static final long REPEAT_NANOS = 1_000_000_000L;

    private final Logger logger;
    private final TimeSource time;
    private final Map<Event, Repeats> repeats = new ConcurrentHashMap<>();

    private static final class Repeats {
        private final AtomicLong nextAtNanos;
        private final AtomicLong suppressed = new AtomicLong();

        private Repeats(long nextAtNanos) {
            this.nextAtNanos = new AtomicLong(nextAtNanos);
        }
    }

    /** A log in the name of {@code source}. */
    public EventLog(Class<?> source) {
        this(source, TimeSource.SYSTEM);
    }

    /** A log with a clock of its own, for tests. */
    public EventLog(Class<?> source, TimeSource time) {
        this.logger = LogManager.getLogger(source);
        this.time = time;
    }

    /**
     * Logs one event.
     *
     * @param values one for each {@code {}} of the event's text; a last Throwable is logged with its stack
     */
    public void log(Event event, Object... values) {
        if (!logger.isEnabled(event.level())) {
            return;
        }
        if (!event.level().isMoreSpecificThan(Level.WARN)) {
            logger.log(event.level(), marker(event), event.text(), values);
            return;
        }
        Repeats r = repeats.computeIfAbsent(event, e -> new Repeats(time.nanoTime()));
        long now = time.nanoTime();
        long next = r.nextAtNanos.get();
        if (now - next < 0 || !r.nextAtNanos.compareAndSet(next, now + REPEAT_NANOS)) {
            r.suppressed.incrementAndGet();
            return;
        }
        long left = r.suppressed.getAndSet(0);
        String text = left == 0 ? event.text() : event.text() + " (and " + left + " more like it before)";
        logger.log(event.level(), marker(event), text, values);
    }

    private static Marker marker(Event event) {
        return MarkerManager.getMarker(Integer.toString(event.number()));
    }
}

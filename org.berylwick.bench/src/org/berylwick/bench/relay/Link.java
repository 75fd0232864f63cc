package org.berylwick.bench.relay;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;

/** One connection through a relay: a socket at each end and a thread for each direction. */
final class Link {
    private static final int CHUNK_BYTES = 64 << 10;

    private final Socket near;
    private final Socket far;
    private final Function<Direction, Duration> delays;
    private final Consumer<Link> onEnd;
    private final Set<Direction> silent = EnumSet.noneOf(Direction.class);
    private final AtomicInteger running = new AtomicInteger(Direction.values().length);

    Link(Socket near, Socket far, Function<Direction, Duration> delays, Consumer<Link> onEnd) {
        this.near = near;
        this.far = far;
        this.delays = delays;
        this.onEnd = onEnd;
    }

    void start() {
        Thread.ofVirtual().start(() -> pump(near, far, Direction.TO_TARGET));
        Thread.ofVirtual().start(() -> pump(far, near, Direction.FROM_TARGET));
    }

    void silence(Set<Direction> directions) {
        synchronized (silent) {
            silent.addAll(directions);
        }
    }

    private boolean isSilent(Direction direction) {
        synchronized (silent) {
            return silent.contains(direction);
        }
    }

    void reset() {
        closeWithReset(near);
        closeWithReset(far);
        onEnd.accept(this);
    }

    private void pump(Socket from, Socket to, Direction direction) {
        byte[] chunk = new byte[CHUNK_BYTES];
        try {
            int length = from.getInputStream().read(chunk);
            while (length >= 0) {
                hold(delays.apply(direction));
                if (!isSilent(direction)) {
                    to.getOutputStream().write(chunk, 0, length);
                }
                length = from.getInputStream().read(chunk);
            }
            if (!isSilent(direction)) {
                to.shutdownOutput();
            }
        } catch (IOException e) {
            if (!isSilent(direction)) {
                reset();
            }
        }
        if (running.decrementAndGet() == 0) {
            reset();
        }
    }

    private static void hold(Duration delay) {
        if (delay.isZero()) {
            return;
        }
        try {
            Thread.sleep(delay);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes a socket so that its other end sees a reset rather than an end of data. */
    static void closeWithReset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already, which is all that is wanted.
        }
    }
}

package org.berylwick.standin;

import com.linecorp.armeria.server.Server;
import java.time.Duration;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;

/** Stops an HTTP server without waiting for the library's threads to wind down, which takes seconds. */
public final class QuickStop {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final long POLL_MILLIS = 2;

    private QuickStop() {}

    /** Stops to listen, cuts every connection, and returns once that is done. */
    public static void stop(Server server) {
        server.stop();
        Deadline by = Deadline.after(TimeSource.SYSTEM, TIMEOUT);
        while ((!server.activePorts().isEmpty() || server.numConnections() > 0) && !by.isPast(TimeSource.SYSTEM)) {
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}

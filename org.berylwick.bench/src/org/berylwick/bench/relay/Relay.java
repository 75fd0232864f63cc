package org.berylwick.bench.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.berylwick.lib.HostPort;

/**
 * Passes TCP connections on to a target, and fails them on demand as a network would; any thread may use it.
 *
 * <p>A silenced connection stays open at both ends for good, and whatever is sent into it, its end included, is lost:
 * that is what the ends see when something between them has lost track of the connection.
 */
public final class Relay implements AutoCloseable {
    private static final int BACKLOG = 1_024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final ServerSocket listener;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private final Map<Direction, Duration> delays = new EnumMap<>(Direction.class);
    private volatile HostPort target;
    private volatile boolean refusing;

    /** A relay that listens on a free port of loopback from now on. */
    public Relay(HostPort target) {
        this.target = target;
        for (Direction d : Direction.values()) {
            delays.put(d, Duration.ZERO);
        }
        try {
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress("127.0.0.1", 0), BACKLOG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Thread.ofVirtual().name("relay to " + target).start(this::accept);
    }

    /** Where to connect in place of the target. */
    public HostPort address() {
        return new HostPort("127.0.0.1", listener.getLocalPort());
    }

    /** Sends connections made from now on elsewhere. */
    public void setTarget(HostPort newTarget) {
        target = newTarget;
    }

    /** Connections that are open at the moment, silent ones included. */
    public int open() {
        return links.size();
    }

    /**
     * Closes every open connection, with a reset.
     *
     * @return how many
     */
    public int cut() {
        int number = 0;
        for (Link link : links) {
            link.reset();
            number++;
        }
        return number;
    }

    /**
     * Silences every open connection for good, in one direction or both; new ones work.
     *
     * @return how many
     */
    public int silence(Set<Direction> directions) {
        int number = 0;
        for (Link link : links) {
            link.silence(directions);
            number++;
        }
        return number;
    }

    /** Silences every open connection for good in both directions. */
    public int freeze() {
        return silence(EnumSet.allOf(Direction.class));
    }

    /** Closes new connections at once, or stops to. */
    public void setRefusing(boolean closeNew) {
        refusing = closeNew;
    }

    /** Holds every piece of data back; pieces follow one another, so that this bounds the rate too. */
    public void setDelay(Direction direction, Duration delay) {
        synchronized (delays) {
            delays.put(direction, delay);
        }
    }

    private Duration delay(Direction direction) {
        synchronized (delays) {
            return delays.get(direction);
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                Thread.ofVirtual().start(() -> connect(near));
            } catch (IOException e) {
                if (!listener.isClosed()) {
                    throw new UncheckedIOException(e);
                }
            }
        }
    }

    private void connect(Socket near) {
        Socket far = new Socket();
        try {
            if (refusing) {
                Link.closeWithReset(near);
                return;
            }
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            HostPort to = target;
            far.connect(new InetSocketAddress(to.host(), to.port()), CONNECT_TIMEOUT_MILLIS);
        } catch (IOException e) {
            Link.closeWithReset(near);
            Link.closeWithReset(far);
            return;
        }
        Link link = new Link(near, far, this::delay, links::remove);
        links.add(link);
        link.start();
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        cut();
    }
}

package org.berylwick.bench.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
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
 * that is what the ends see when something between them has lost track of the connection. While the target refuses
 * connections the relay does too, but for the first, which it must accept to learn of it.
 */
public final class Relay implements AutoCloseable {
    private static final int BACKLOG = 1_024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long PROBE_MILLIS = 50;

    private final InetSocketAddress bound;
    private volatile ServerSocket listener;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private final Map<Direction, Duration> delays = new EnumMap<>(Direction.class);
    private volatile HostPort target;
    private volatile boolean refusing;
    private volatile boolean closed;

    /** A relay that listens on a free port of loopback from now on. */
    public Relay(HostPort target) {
        this.target = target;
        for (Direction d : Direction.values()) {
            delays.put(d, Duration.ZERO);
        }
        try {
            listener = listen(new InetSocketAddress("127.0.0.1", 0));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        bound = new InetSocketAddress("127.0.0.1", listener.getLocalPort());
        Thread.ofVirtual().name("relay to " + target).start(this::accept);
    }

    private static ServerSocket listen(InetSocketAddress address) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(address, BACKLOG);
        return socket;
    }

    /** Where to connect in place of the target. */
    public HostPort address() {
        return new HostPort(bound.getHostString(), bound.getPort());
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
        while (!closed) {
            try {
                Socket near = listener.accept();
                Thread.ofVirtual().start(() -> connect(near));
            } catch (IOException e) {
                awaitTarget();
            }
        }
    }

    /** Listens again once the target does. */
    private void awaitTarget() {
        while (!closed) {
            try (Socket probe = new Socket()) {
                Thread.sleep(PROBE_MILLIS);
                probe.connect(new InetSocketAddress(target.host(), target.port()), CONNECT_TIMEOUT_MILLIS);
                listener = listen(bound);
                if (closed) {
                    listener.close();
                }
                return;
            } catch (IOException | IllegalArgumentException e) {
                // Neither may the target listen yet, nor the port be free: the next round tries again.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
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
        } catch (ConnectException e) {
            Link.closeWithReset(near);
            stopListening();
            return;
        } catch (IOException e) {
            Link.closeWithReset(near);
            Link.closeWithReset(far);
            return;
        }
        Link link = new Link(near, far, this::delay, links::remove);
        links.add(link);
        link.start();
    }

    private void stopListening() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        closed = true;
        stopListening();
        cut();
    }
}

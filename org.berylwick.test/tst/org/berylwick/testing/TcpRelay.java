package org.berylwick.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.lib.HostPort;

/** Passes TCP connections on, and can cut them, or freeze those that are open while new ones work. */
public final class TcpRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;

    private final HostPort target;
    private final ServerSocket listener;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private final AtomicInteger accepted = new AtomicInteger();

    private Optional<Cut> cut = Optional.empty();

    /** Ends the connection on which the target sends next. */
    private record Cut(int bytes, boolean withReset) {}

    private record Link(Socket near, Socket far, Gate gate) {}

    /** Holds back everything of one connection once it is shut. */
    private static final class Gate {
        private boolean frozen;

        private synchronized void pass() throws InterruptedException {
            while (frozen) {
                wait();
            }
        }

        private synchronized void freeze() {
            frozen = true;
        }

        private synchronized void open() {
            frozen = false;
            notifyAll();
        }
    }

    /** A relay on a free port to {@code target}. */
    public TcpRelay(HostPort target) {
        this.target = target;
        try {
            listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        Thread.ofPlatform().daemon(true).name("tcp-relay").start(this::accept);
    }

    /** Where it listens. */
    public HostPort address() {
        return new HostPort("127.0.0.1", listener.getLocalPort());
    }

    /** Connections accepted since the start. */
    public int accepted() {
        return accepted.get();
    }

    /** From now on nothing passes over the connections that are open; they stay open. */
    public void freezeOpen() {
        links.forEach(l -> l.gate().freeze());
    }

    /** Closes the connections that are open. */
    public void cutOpen() {
        links.forEach(TcpRelay::close);
    }

    /**
     * Ends the connection on which the target sends next as soon as a number of bytes from the target has passed; none
     * passes if it is 0.
     */
    public synchronized void cutAfter(int bytes, boolean withReset) {
        cut = Optional.of(new Cut(bytes, withReset));
    }

    /** Cancels a cut; returns whether the connection was still to be ended. */
    public synchronized boolean cancelCut() {
        boolean pending = cut.isPresent();
        cut = Optional.empty();
        return pending;
    }

    /** Takes up to {@code bytes} from the bytes that pass before the cut; the cut is due if it returns one. */
    private synchronized Optional<Cut> takeBeforeCut(int bytes) {
        Optional<Cut> before = cut;
        cut = before.filter(c -> c.bytes() > bytes).map(c -> new Cut(c.bytes() - bytes, c.withReset()));
        return before.filter(c -> c.bytes() <= bytes);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                accepted.incrementAndGet();
                Socket far = new Socket(target.host(), target.port());
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Link link = new Link(near, far, new Gate());
                links.add(link);
                Thread.ofPlatform().daemon(true).start(() -> pump(link, near, far));
                Thread.ofPlatform().daemon(true).start(() -> pump(link, far, near));
            } catch (IOException e) {
                if (listener.isClosed()) {
                    return;
                }
            }
        }
    }

    private void pump(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                link.gate().pass();
                Optional<Cut> due = from == link.far() ? takeBeforeCut(n) : Optional.empty();
                out.write(buffer, 0, due.map(Cut::bytes).orElse(n));
                out.flush();
                if (due.isPresent()) {
                    end(link.near(), due.get().withReset());
                    break;
                }
            }
            link.gate().pass();
        } catch (IOException e) {
            // One end is gone; the other is closed below.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close(link);
        links.remove(link);
    }

    private static void end(Socket socket, boolean withReset) throws IOException {
        if (withReset) {
            socket.setSoLinger(true, 0);
        } else {
            socket.shutdownOutput();
        }
    }

    private static void close(Link link) {
        link.gate().open();
        try {
            link.near().close();
            link.far().close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        links.forEach(TcpRelay::close);
    }
}

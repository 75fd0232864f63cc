package org.berylwick.node.call;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.MeshVersion;
import org.berylwick.node.lib.NodeSettings;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.transport.BufferedHttpCall;
import org.berylwick.node.transport.ConnectionPool;

/**
 * Asks the backend server itself who it is and how many slots it has, after a start of this node; confined to the event
 * loop.
 *
 * <p>A node that was killed knows its backend server again by the next heartbeat, up to 1.5 s later; until then all
 * slots here are lost to the fleet, and with all nodes killed at once nobody is served. A healthy answer names the very
 * incarnation that each request is then addressed to, so another server at that address runs none of them, and one that
 * is draining answers that it is not healthy. The first heartbeat takes over whatever it says.
 */
public final class BackendProbe {
    private static final long TIMEOUT_MILLIS = 400;
    private static final long RETRY_MILLIS = 100;
    /** After these a heartbeat is due anyway. */
    private static final int MOST_TRIES = 5;
    /** Older than the number of any heartbeat. */
    private static final long BEFORE_ANY_REPORT = -1;

    private static final int CONNECT_MILLIS = 300;
    private static final long IDLE_NANOS = 1_000_000_000L;
    private static final byte[] NO_BODY = new byte[0];

    private final EventLoop loop;
    private final NodeSettings settings;
    private final HeaderNames names;
    private final Owner owner;
    private final EventLog log;
    private int tries;
    private boolean asking;

    /**
     * @param loop all runs on it
     * @param settings name the service and where its backend server listens
     * @param names headers that the backend server knows
     * @param owner is told what was learnt
     * @param log takes events
     */
    public BackendProbe(EventLoop loop, NodeSettings settings, HeaderNames names, Owner owner, EventLog log) {
        this.loop = loop;
        this.settings = settings;
        this.names = names;
        this.owner = owner;
        this.log = log;
    }

    /** Asks if no backend server is known yet; called with each version, as that tells where to ask. */
    public void ask(MeshVersion version) {
        Optional<String> path = version.healthPath(settings.service());
        if (asking || path.isEmpty() || settings.backend().getPort() == 0) {
            return;
        }
        asking = true;
        ask(path.get());
    }

    private void ask(String path) {
        if (owner.backend().isPresent() || tries >= MOST_TRIES) {
            return;
        }
        tries++;
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        head.headers().set(HttpHeaderNames.HOST, settings.backend().getHostString());
        ConnectionPool pool = new ConnectionPool(loop, settings.backend(), CONNECT_MILLIS, IDLE_NANOS);
        BufferedHttpCall.start(loop, pool, head, NO_BODY, TIMEOUT_MILLIS, result -> {
            pool.close();
            onResult(path, result);
        });
    }

    private void onResult(String path, BufferedHttpCall.Result result) {
        Optional<BackendReport> found = read(result);
        log.write(
                Event.BACKEND_PROBED,
                "try",
                tries,
                "incarnation",
                found.map(BackendReport::incarnation).orElse(""),
                "answer",
                result instanceof BufferedHttpCall.Result.Completed a ? a.status() : 0);
        if (found.isPresent() && owner.backend().isEmpty()) {
            owner.onReport(found.get());
            return;
        }
        loop.schedule(() -> ask(path), RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private Optional<BackendReport> read(BufferedHttpCall.Result result) {
        if (!(result instanceof BufferedHttpCall.Result.Completed answered) || answered.status() != 200) {
            return Optional.empty();
        }
        String incarnation = answered.headers().get(names.instance(), "");
        int slots = slots(answered.headers().get(names.load(), ""));
        if (incarnation.isBlank() || slots < 1) {
            return Optional.empty();
        }
        return Optional.of(new BackendReport(
                incarnation,
                settings.service(),
                settings.backend(),
                settings.zone(),
                slots,
                BackendState.READY,
                BEFORE_ANY_REPORT,
                0));
    }

    /** The third of running, waiting and slots; 0 if it is not told. */
    private static int slots(String load) {
        String[] fields = load.split(",");
        if (fields.length != 3) {
            return 0;
        }
        try {
            return Integer.parseInt(fields[2].strip());
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}

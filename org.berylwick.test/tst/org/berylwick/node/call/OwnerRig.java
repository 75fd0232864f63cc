package org.berylwick.node.call;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Supplier;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.lib.BackendReport;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.lib.RequestClass;
import org.berylwick.node.lib.RouteKind;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.quarantine.HoldLog;
import org.berylwick.node.quarantine.Quarantine;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.ServerConnectionPool;
import org.berylwick.node.transport.VmLink;

/** Test fixture: the owner of a backend server of service {@code work}, on a virtual clock. */
final class OwnerRig {
    static final long MILLIS = 1_000_000L;
    static final long SECONDS = 1_000 * MILLIS;
    static final long HEARTBEAT_NANOS = 1_500 * MILLIS;
    static final HeaderNames HEADER_NAMES = new HeaderNames(
            "id",
            "deadline",
            "signature",
            "target",
            "load",
            "not-run",
            "caller",
            "instance",
            "limit",
            "leaving",
            "x-key",
            "x-organisation");

    final VirtualClock clock = new VirtualClock();
    final Counters counters = new Counters();
    final Quarantine quarantine;
    final Owner owner;

    /** @param server creates the connections to an incarnation of the backend server */
    OwnerRig(Supplier<ServerConnectionPool> server) {
        EventLog log = new EventLog("test", OutputStream.nullOutputStream());
        quarantine = new Quarantine(clock::now, new HoldLog(new Instruments(counters, log)));
        owner = new Owner(
                clock,
                address -> server.get(),
                HEADER_NAMES,
                VmLink.of(1_000, clock),
                HEARTBEAT_NANOS,
                counters,
                log,
                () -> {},
                quarantine,
                Map::of);
    }

    static BackendReport report(String incarnation, long sequence, BackendState state, int slots) {
        return new BackendReport(
                incarnation, "work", new InetSocketAddress("127.0.0.1", 1), "zone", slots, state, sequence, 0);
    }

    /** A request that can be retried, with an objective of 600 ms and a deadline of 2 s from now. */
    CallSpec call(String id, long maxWaitNanos) {
        return call(id, maxWaitNanos, 1, OrganisationTag.NONE);
    }

    /** Such a request on a route of the given priority, which belongs to an organisation. */
    CallSpec call(String id, long maxWaitNanos, int routePriority, OrganisationTag organisation) {
        return new CallSpec(
                id,
                HttpMethod.GET,
                "/x",
                Headers.empty().set(HEADER_NAMES.requestId(), id),
                RequestBody.of(Unpooled.EMPTY_BUFFER),
                "work",
                "caller",
                new RequestClass(RouteKind.IDEMPOTENT, routePriority, 600),
                clock.now() + 600 * MILLIS,
                clock.now() + 2 * SECONDS,
                maxWaitNanos,
                1,
                0,
                0,
                organisation);
    }
}

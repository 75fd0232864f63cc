package org.berylwick.bench.soak;

import com.linecorp.armeria.client.grpc.GrpcClients;
import io.grpc.StatusRuntimeException;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.berylwick.api.HistoryCommand;
import org.berylwick.api.HistoryResult;
import org.berylwick.api.HistoryResult.AcceptedVersion;
import org.berylwick.bench.soak.SoakJudge.Breach;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.AdminGrpc;
import org.berylwick.proto.GetStatusReply;
import org.berylwick.proto.GetStatusRequest;
import org.berylwick.transport.HttpPlatformStore;

/** Asks every daemon what is in force, over and over, and at the end holds it against what was accepted. */
final class VersionWatcher implements AutoCloseable {
    private static final Duration ASK_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SETTLE = Duration.ofSeconds(30);
    private static final long ROUND_MILLIS = 400;

    private final SoakFleet fleet;
    private final SoakJudge judge;
    private final TimeSource time = TimeSource.SYSTEM;
    private final Map<String, Long> highest = new ConcurrentHashMap<>();
    private final Map<Long, String> digests = new ConcurrentHashMap<>();
    private final Map<HostPort, AdminGrpc.AdminBlockingStub> stubs = new ConcurrentHashMap<>();
    private final Thread thread;
    private volatile boolean running = true;

    VersionWatcher(SoakFleet fleet, SoakJudge judge) {
        this.fleet = fleet;
        this.judge = judge;
        thread = Thread.ofPlatform().name("version-watcher").daemon(true).start(this::loop);
    }

    private void loop() {
        try {
            while (running) {
                for (SoakNode node : fleet.nodes()) {
                    Thread.ofVirtual().start(() -> ask(node));
                }
                Thread.sleep(ROUND_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Optional<GetStatusReply> ask(SoakNode node) {
        AdminGrpc.AdminBlockingStub stub = stubs.computeIfAbsent(
                fleet.addresses(node).admin(),
                address -> GrpcClients.builder("gproto+h2c://" + address)
                        .responseTimeout(ASK_TIMEOUT)
                        .build(AdminGrpc.AdminBlockingStub.class));
        // Asked before the question is sent, so that a slow answer cannot look like a step back.
        long before = highest.getOrDefault(node.name(), 0L);
        try {
            GetStatusReply status = stub.getStatus(GetStatusRequest.getDefaultInstance());
            check(node, before, status);
            return Optional.of(status);
        } catch (StatusRuntimeException e) {
            return Optional.empty();
        }
    }

    private void check(SoakNode node, long before, GetStatusReply status) {
        long version = status.getVersion();
        if (version == 0) {
            return;
        }
        if (version < before) {
            judge.breach(Breach.VERSIONS_REVERTED, node.name() + " from " + before + " to " + version);
        }
        highest.merge(node.name(), version, Math::max);
        String known = digests.putIfAbsent(version, status.getDigest());
        if (known != null && !known.equals(status.getDigest())) {
            judge.breach(Breach.PARTIAL, node.name() + " has another version " + version);
        }
    }

    /** Waits until every daemon has the store's newest version, and checks the history against what was accepted. */
    void settle(SoakOperator operator) throws InterruptedException {
        List<AcceptedVersion> history = history();
        long newest = history.isEmpty() ? 0 : history.getFirst().id().number();
        Deadline by = Deadline.after(time, SETTLE);
        for (SoakNode node : fleet.nodes()) {
            long seen = 0;
            while (seen < newest && !by.isPast(time)) {
                seen = ask(node).map(GetStatusReply::getVersion).orElse(0L);
                Thread.sleep(ROUND_MILLIS / 4);
            }
            if (seen < newest) {
                judge.breach(Breach.NOT_CONVERGED, node.name() + " has " + seen + " of " + newest);
            }
        }
        checkHistory(history, operator);
    }

    private void checkHistory(List<AcceptedVersion> history, SoakOperator operator) {
        Map<Long, String> operations = new HashMap<>();
        Set<String> seen = new HashSet<>();
        for (AcceptedVersion v : history) {
            operations.put(v.id().number(), v.audit().operationId());
            if (!seen.add(v.audit().operationId())) {
                judge.breach(Breach.LOST_ACCEPTED, "operation " + v.audit().operationId() + " was accepted twice");
            }
            String digest = digests.get(v.id().number());
            if (digest != null && !digest.equals(v.id().digest().hex())) {
                judge.breach(Breach.PARTIAL, "version " + v.id().number() + " is not what was accepted");
            }
        }
        for (SoakOperator.Accepted a : operator.accepted()) {
            if (!seen.contains(a.theme())) {
                judge.breach(Breach.LOST_ACCEPTED, a + " is not in the history");
            } else if (!a.theme().equals(operations.get(a.version()))) {
                judge.breach(Breach.LOST_ACCEPTED, a + " was told a version that is another operation's");
            }
        }
    }

    private List<AcceptedVersion> history() {
        URI uri = URI.create("http://" + fleet.platform().address());
        try (HttpPlatformStore store = new HttpPlatformStore(uri, time)) {
            HistoryResult result = new HistoryCommand(new VersionRepository(store))
                    .setLimit(HistoryCommand.MAX_SCANNED)
                    .setDeadline(Deadline.after(time, READ_TIMEOUT))
                    .call();
            if (result instanceof HistoryResult.Found found) {
                return found.versions();
            }
            throw new IllegalStateException("the history cannot be read: " + result);
        }
    }

    @Override
    public void close() {
        running = false;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

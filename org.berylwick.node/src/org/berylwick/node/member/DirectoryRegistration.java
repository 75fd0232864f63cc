package org.berylwick.node.member;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.DepartureRecord;
import org.berylwick.node.lib.RetryDelay;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;

/**
 * Registers this node in the directory, and keeps there what must outlast its process: crashes of requests, and the
 * incarnations of its backend server that have left. Confined to the event loop.
 *
 * <p>Each write names the revision it replaces. A write that the store executes late, also one of an earlier process of
 * this node, therefore never removes what was added since.
 */
public final class DirectoryRegistration implements DepartureRecord {
    private static final long INITIAL_RETRY_MILLIS = 150;
    private static final long MAX_RETRY_MILLIS = 2_000;
    /** Upper bound of the delay while a backend server waits for the acknowledgement of its leave. */
    private static final long MAX_RETRY_FOR_LEAVE_MILLIS = 500;
    /** A lost response is noticed in time to acknowledge a leave after a second try. */
    private static final long INITIAL_TIMEOUT_MILLIS = 400;

    private static final long MAX_TIMEOUT_MILLIS = 1_600;

    private final Clock clock;
    private final NodeDirectory directory;
    private final Instruments instruments;
    private final String vmName;
    private final String ip;
    private final Supplier<List<SuspectReport.Crashed>> crashes;
    private final RetryDelay retryDelay = new RetryDelay(INITIAL_RETRY_MILLIS, MAX_RETRY_MILLIS);
    private final Set<String> recorded = new LinkedHashSet<>();
    /** Incarnations that have left and are not recorded yet, and who waits for that. */
    private final Map<String, List<Runnable>> pending = new LinkedHashMap<>();

    private Consumer<NodeDirectory.Entry> onEntryRead = entry -> {};
    private Runnable onRegistered = () -> {};
    private Runnable onUnanswered = () -> {};
    private OptionalLong revision = OptionalLong.empty();
    private long timeoutMillis = INITIAL_TIMEOUT_MILLIS;
    private boolean registered;
    /** Whether the crashes have changed since they were last written. */
    private boolean crashesChanged;
    /** Whether the entry in the directory names another address. */
    private boolean addressChanged;

    private boolean writing;
    private int conflictsInSuccession;
    private Clock.Timer retry = () -> {};

    /**
     * @param clock time source; its tasks run on the event loop
     * @param directory persistent list of all nodes
     * @param instruments receive metric counts and events
     * @param vmName name of this VM, the key of its entry
     * @param ip IP address of this VM
     * @param crashes supplies the crashes that must outlast the loss of all nodes
     */
    public DirectoryRegistration(
            Clock clock,
            NodeDirectory directory,
            Instruments instruments,
            String vmName,
            String ip,
            Supplier<List<SuspectReport.Crashed>> crashes) {
        this.clock = clock;
        this.directory = directory;
        this.instruments = instruments;
        this.vmName = vmName;
        this.ip = ip;
        this.crashes = crashes;
    }

    /**
     * Sets what processes the entry that earlier processes of this node have left, called before the start.
     *
     * @param listener called with the entry in the directory when the node is registered, and again whenever it is not
     *     the one that this process has written
     */
    public void setEntryListener(Consumer<NodeDirectory.Entry> listener) {
        onEntryRead = listener;
    }

    /**
     * Sets what runs when the store has not answered a call before this node was registered, called before the start.
     */
    public void setUnansweredListener(Runnable listener) {
        onUnanswered = listener;
    }

    /** Whether the store has answered this process, which therefore knows the entry of this node. */
    public boolean isRegistered() {
        return registered;
    }

    /**
     * Registers this node, retrying until that succeeds.
     *
     * @param listener runs when the node is registered
     */
    public void start(Runnable listener) {
        onRegistered = listener;
        write();
    }

    /** Records the current crashes, retrying until that succeeds. */
    public void recordCrashes() {
        crashesChanged = true;
        clock.defer(this::write);
    }

    @Override
    public void record(String incarnation, Runnable onRecorded) {
        if (recorded.contains(incarnation)) {
            onRecorded.run();
            return;
        }
        pending.computeIfAbsent(incarnation, i -> new ArrayList<>()).add(onRecorded);
        write();
    }

    private void write() {
        if (writing || isUpToDate()) {
            return;
        }
        retry.cancel();
        writing = true;
        boolean withNewCrashes = crashesChanged;
        crashesChanged = false;
        NodeDirectory.Entry entry = new NodeDirectory.Entry(vmName, ip, crashes.get(), allDepartures());
        Consumer<NodeDirectory.WriteResult> onResult = result -> {
            writing = false;
            crashesChanged |= withNewCrashes && !(result instanceof NodeDirectory.WriteResult.Written);
            onResult(entry, result);
        };
        if (revision.isPresent()) {
            directory.replace(entry, revision.getAsLong(), timeoutMillis, onResult);
        } else {
            directory.create(entry, timeoutMillis, onResult);
        }
    }

    private boolean isUpToDate() {
        return registered && !addressChanged && !crashesChanged && pending.isEmpty();
    }

    private List<String> allDepartures() {
        List<String> all = new ArrayList<>(recorded);
        for (String departure : pending.keySet()) {
            if (!recorded.contains(departure)) {
                all.add(departure);
            }
        }
        return all;
    }

    private void onResult(NodeDirectory.Entry sent, NodeDirectory.WriteResult result) {
        switch (result) {
            case NodeDirectory.WriteResult.Written(long newRevision) -> {
                addressChanged = false;
                if (!registered) {
                    onEntryRead.accept(sent);
                }
                onStored(sent, newRevision);
                conflictsInSuccession = 0;
                write();
            }
            case NodeDirectory.WriteResult.Conflict(NodeDirectory.Entry stored, long currentRevision) -> {
                addressChanged = !stored.ip().equals(ip);
                onEntryRead.accept(stored);
                onStored(stored, currentRevision);
                conflictsInSuccession = isUpToDate() ? 0 : conflictsInSuccession + 1;
                if (conflictsInSuccession > 1) {
                    retryLater("conflicts in succession");
                } else {
                    write();
                }
            }
            case NodeDirectory.WriteResult.Missing() -> {
                revision = OptionalLong.empty();
                retryLater("entry is missing");
            }
            case NodeDirectory.WriteResult.Failed(String cause) -> {
                timeoutMillis = Math.min(MAX_TIMEOUT_MILLIS, timeoutMillis * 2);
                retryLater(cause);
                if (!registered) {
                    onUnanswered.run();
                }
            }
        }
    }

    private void onStored(NodeDirectory.Entry stored, long newRevision) {
        revision = OptionalLong.of(newRevision);
        timeoutMillis = INITIAL_TIMEOUT_MILLIS;
        retryDelay.reset();
        recorded.addAll(stored.departures());
        if (!registered) {
            registered = true;
            onRegistered.run();
        }
        List<Runnable> waiting = new ArrayList<>();
        for (String departure : stored.departures()) {
            waiting.addAll(pending.getOrDefault(departure, List.of()));
            pending.remove(departure);
        }
        waiting.forEach(Runnable::run);
    }

    private void retryLater(String cause) {
        instruments.counters().increment(NodeMetricNames.DIRECTORY_FAILURES);
        instruments.log().write(Event.STORE_CALL_FAILED, "call", "write entry", "cause", cause);
        long delayMillis = retryDelay.next();
        if (!pending.isEmpty()) {
            delayMillis = Math.min(delayMillis, MAX_RETRY_FOR_LEAVE_MILLIS);
        }
        retry = clock.schedule(clock.now() + delayMillis * 1_000_000, this::write);
    }
}

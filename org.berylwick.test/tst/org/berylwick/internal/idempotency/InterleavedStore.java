package org.berylwick.internal.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.berylwick.errors.StoreError;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.MemoryStore;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.StoreCall;
import org.berylwick.transport.StoreInterceptor;

/**
 * A store that schedules its clients' calls one at a time in an order determined by a seed, and injects faults.
 *
 * <p>Each client blocks before and after each call until {@link #run} resumes it. A call may fail as unavailable, its
 * response may be lost after it took effect, and a write may be delayed: its response is lost, and it takes effect at
 * any later time.
 */
final class InterleavedStore implements StoreInterceptor {
    /** On average, one in this many calls, responses and scheduling steps is affected by a fault. */
    private static final int FAULT_ONE_IN = 5;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition turnChanged = lock.newCondition();
    private final List<Thread> waitingClients = new ArrayList<>();
    private final List<StoreCall> delayedWrites = new ArrayList<>();
    private final Random random;
    private final TimeSource time;
    private final MemoryStore store;
    private Thread scheduledClient;
    private int activeClients;

    InterleavedStore(Random random, TimeSource time) {
        this.random = random;
        this.time = time;
        this.store = new MemoryStore(time, this);
    }

    MemoryStore store() {
        return store;
    }

    /**
     * Runs all clients until they finish. Between two calls, with the probability of a fault, {@code betweenCalls} is
     * run and a delayed write takes effect.
     */
    void run(List<Runnable> clients, Runnable betweenCalls) {
        lock.lock();
        try {
            activeClients = clients.size();
            clients.forEach(client -> Thread.ofVirtual().start(() -> runClient(client)));
            while (activeClients > 0) {
                while (scheduledClient != null || waitingClients.size() < activeClients) {
                    turnChanged.awaitUninterruptibly();
                }
                if (activeClients == 0) {
                    break;
                }
                if (random.nextInt(FAULT_ONE_IN) == 0) {
                    betweenCalls.run();
                    applyOneDelayedWrite();
                }
                scheduledClient = waitingClients.remove(random.nextInt(waitingClients.size()));
                turnChanged.signalAll();
            }
        } finally {
            lock.unlock();
        }
        while (!delayedWrites.isEmpty()) {
            applyOneDelayedWrite();
        }
    }

    private void runClient(Runnable body) {
        awaitTurn();
        try {
            body.run();
        } finally {
            lock.lock();
            try {
                activeClients--;
                scheduledClient = null;
                turnChanged.signalAll();
            } finally {
                lock.unlock();
            }
        }
    }

    /** Ends the turn of the current client and blocks until it is scheduled again. */
    private void awaitTurn() {
        lock.lock();
        try {
            Thread self = Thread.currentThread();
            if (scheduledClient == self) {
                scheduledClient = null;
            }
            // Client threads arrive here in an arbitrary order. Sorting them by ID makes the schedule depend on the
            // seed alone.
            waitingClients.add(self);
            waitingClients.sort((a, b) -> Long.compare(a.threadId(), b.threadId()));
            turnChanged.signalAll();
            while (scheduledClient != self) {
                turnChanged.awaitUninterruptibly();
            }
        } finally {
            lock.unlock();
        }
    }

    private void applyOneDelayedWrite() {
        if (!delayedWrites.isEmpty()) {
            StoreCall delayedCall = delayedWrites.remove(random.nextInt(delayedWrites.size()));
            StoreCall.Write write = delayedCall.write().orElseThrow();
            store.put(
                    new ObjectKey(delayedCall.path()),
                    write.value(),
                    write.precondition(),
                    Deadline.afterMillis(time, 1));
        }
    }

    /**
     * Whether the current thread is a client. Calls by the scheduling thread and by the test itself, before or after
     * {@link #run}, are neither scheduled nor subject to faults.
     */
    private boolean isClient() {
        return Thread.currentThread().isVirtual();
    }

    @Override
    public Optional<StoreError> before(StoreCall call) {
        if (!isClient()) {
            return Optional.empty();
        }
        awaitTurn();
        return switch (random.nextInt(2 * FAULT_ONE_IN)) {
            case 0 -> Optional.of(new StoreError.Unavailable("store unavailable"));
            case 1 -> {
                if (call.isWrite()) {
                    delayedWrites.add(call);
                }
                yield Optional.of(new StoreError.OutcomeUnknown("call lost or delayed"));
            }
            default -> Optional.empty();
        };
    }

    @Override
    public Optional<StoreError> after(StoreCall call) {
        if (!isClient()) {
            return Optional.empty();
        }
        awaitTurn();
        return random.nextInt(FAULT_ONE_IN) == 0
                ? Optional.of(new StoreError.OutcomeUnknown("response lost"))
                : Optional.empty();
    }
}

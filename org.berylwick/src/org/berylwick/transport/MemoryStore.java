package org.berylwick.transport;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import org.berylwick.errors.StoreError;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.StoreCall.Operation;

/** A complete store in this process's memory, for tests and for the platform's stand-in. */
public final class MemoryStore implements PlatformStore {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private final Map<String, StoredObject> tombstones = new HashMap<>();
    private final TimeSource time;
    private final StoreInterceptor interceptor;
    private long revision;
    private boolean closed;

    /** An empty store. */
    public MemoryStore(TimeSource time) {
        this(time, StoreInterceptor.NONE);
    }

    /**
     * An empty store whose calls may be made to fail.
     *
     * @param interceptor asked before and after each call
     */
    public MemoryStore(TimeSource time, StoreInterceptor interceptor) {
        this.time = time;
        this.interceptor = interceptor;
    }

    private <T> Result<T, StoreError> intercepted(
            Operation operation, String path, Supplier<Result<T, StoreError>> call) {
        return intercepted(new StoreCall(operation, path, Optional.empty()), call);
    }

    private <T> Result<T, StoreError> intercepted(StoreCall seen, Supplier<Result<T, StoreError>> call) {
        Optional<StoreError> refused = interceptor.before(seen);
        if (refused.isPresent()) {
            return Result.err(refused.get());
        }
        Result<T, StoreError> answer = call.get();
        Optional<StoreError> lost = interceptor.after(seen);
        return lost.isPresent() ? Result.err(lost.get()) : answer;
    }

    @Override
    public Result<Optional<StoredObject>, StoreError> get(ObjectKey key, Deadline deadline) {
        return intercepted(Operation.GET, key.path(), () -> read(key));
    }

    private Result<Optional<StoredObject>, StoreError> read(ObjectKey key) {
        lock.lock();
        try {
            return Result.ok(Optional.ofNullable(objects.get(key.path())));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Result<WatchBatch, StoreError> list(String prefix, Deadline deadline) {
        return intercepted(Operation.LIST, prefix, () -> readAll(prefix));
    }

    private Result<WatchBatch, StoreError> readAll(String prefix) {
        lock.lock();
        try {
            return Result.ok(new WatchBatch(revision, under(prefix)));
        } finally {
            lock.unlock();
        }
    }

    private List<StoredObject> under(String prefix) {
        return List.copyOf(objects.subMap(prefix, prefix + Character.MAX_VALUE).values());
    }

    @Override
    public Result<Long, StoreError> put(ObjectKey key, byte[] value, Precondition precondition, Deadline deadline) {
        if (value.length > MAX_VALUE_BYTES) {
            return Result.err(new StoreError.TooLarge(MAX_VALUE_BYTES));
        }
        StoreCall call =
                new StoreCall(Operation.PUT, key.path(), Optional.of(new StoreCall.Write(value.clone(), precondition)));
        return intercepted(call, () -> write(key, value, precondition));
    }

    private Result<Long, StoreError> write(ObjectKey key, byte[] value, Precondition precondition) {
        lock.lock();
        try {
            StoredObject current = objects.get(key.path());
            if (!holds(precondition, current)) {
                return Result.err(preconditionFailed(current));
            }
            revision++;
            objects.put(key.path(), new StoredObject(key, revision, value.clone(), false));
            tombstones.remove(key.path());
            changed.signalAll();
            return Result.ok(revision);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Result<Long, StoreError> delete(ObjectKey key, Precondition precondition, Deadline deadline) {
        StoreCall call = new StoreCall(
                Operation.DELETE, key.path(), Optional.of(new StoreCall.Write(new byte[0], precondition)));
        return intercepted(call, () -> remove(key, precondition));
    }

    private Result<Long, StoreError> remove(ObjectKey key, Precondition precondition) {
        lock.lock();
        try {
            StoredObject current = objects.get(key.path());
            if (!holds(precondition, current)) {
                return Result.err(preconditionFailed(current));
            }
            if (current == null) {
                return Result.ok(revision);
            }
            revision++;
            objects.remove(key.path());
            tombstones.put(key.path(), new StoredObject(key, revision, new byte[0], true));
            changed.signalAll();
            return Result.ok(revision);
        } finally {
            lock.unlock();
        }
    }

    private static boolean holds(Precondition precondition, StoredObject current) {
        return switch (precondition) {
            case Precondition.None() -> true;
            case Precondition.MustBeAbsent() -> current == null;
            case Precondition.MustHaveVersion(long version) -> current != null && current.version() == version;
        };
    }

    private static StoreError preconditionFailed(StoredObject current) {
        return new StoreError.PreconditionFailed(
                current == null ? OptionalLong.empty() : OptionalLong.of(current.version()));
    }

    @Override
    public Result<WatchBatch, StoreError> watch(String prefix, long after, Deadline deadline) {
        return intercepted(Operation.WATCH, prefix, () -> awaitChange(prefix, after, deadline));
    }

    private Result<WatchBatch, StoreError> awaitChange(String prefix, long after, Deadline deadline) {
        lock.lock();
        try {
            List<StoredObject> seen = changedUnder(prefix, after);
            while (seen.isEmpty() && !closed && !deadline.isPast(time)) {
                changed.awaitNanos(Math.min(deadline.remainingNanos(time), TimeUnit.SECONDS.toNanos(1)));
                seen = changedUnder(prefix, after);
            }
            return Result.ok(new WatchBatch(Math.max(revision, after), seen));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Result.err(new StoreError.Unavailable("interrupted"));
        } finally {
            lock.unlock();
        }
    }

    private List<StoredObject> changedUnder(String prefix, long after) {
        List<StoredObject> seen = new ArrayList<>();
        for (StoredObject o :
                objects.subMap(prefix, prefix + Character.MAX_VALUE).values()) {
            if (o.version() > after) {
                seen.add(o);
            }
        }
        for (StoredObject o : tombstones.values()) {
            if (o.version() > after && o.key().path().startsWith(prefix)) {
                seen.add(o);
            }
        }
        seen.sort(Comparator.comparingLong(StoredObject::version));
        return seen;
    }

    @Override
    public void close() {
        lock.lock();
        try {
            closed = true;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }
}

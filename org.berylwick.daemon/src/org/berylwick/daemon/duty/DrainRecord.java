package org.berylwick.daemon.duty;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.errors.StoreError;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.OperatorEvent;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.PlatformStore;
import org.berylwick.transport.Precondition;
import org.berylwick.transport.StoredObject;

/**
 * Takes the backend server out of service for an operator, and back in. A drain is recorded in the store before it is
 * confirmed, so that a daemon that is started again after a crash does not send the backend server requests. A planned
 * stop of the daemon ends the drain. Thread-safe.
 */
public final class DrainRecord implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "drain-record";

    private static final EventLog EVENTS = new EventLog(DrainRecord.class);
    private static final String PREFIX = "drains/";
    private static final byte[] DRAINED = "{}".getBytes(StandardCharsets.UTF_8);
    private static final long CALL_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 200;
    /** A daemon that starts in an outage of the store serves requests without the record after this time. */
    private static final long MAX_WAIT_MILLIS = 3_000;

    private final PlatformStore store;
    private final ObjectKey key;
    private final SelfAnnouncement self;
    private final TimeSource time;
    private boolean known;
    private Optional<Thread> reader = Optional.empty();

    /** A record that is read from {@link #start()} on. */
    public DrainRecord(PlatformStore store, DaemonSettings settings, SelfAnnouncement self, TimeSource time) {
        this.store = store;
        this.key = new ObjectKey(PREFIX + settings.instance());
        this.self = self;
        this.time = time;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        self.holdUntil(Deadline.afterMillis(time, MAX_WAIT_MILLIS));
        reader = Optional.of(Thread.ofPlatform().name(NAME).daemon(true).start(this::readUntilKnown));
    }

    private void readUntilKnown() {
        try {
            while (!tryRead()) {
                TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean tryRead() {
        if (known) {
            return true;
        }
        if (!(store.get(key, deadline()) instanceof Result.Ok<Optional<StoredObject>, StoreError>(var object))) {
            return false;
        }
        known = true;
        if (object.isPresent()) {
            self.drain();
            EVENTS.log(OperatorEvent.DRAIN, "drain", "the record", self.state());
        }
        self.endHold();
        return true;
    }

    /** Takes the backend server out of service at once, and records that. */
    public synchronized DrainResult drain() {
        self.drain();
        return toResult(store.put(key, DRAINED, new Precondition.None(), deadline()));
    }

    /** Removes the record, and takes the backend server back in after its next health check. */
    public synchronized DrainResult undrain() {
        DrainResult result = toResult(store.delete(key, new Precondition.None(), deadline()));
        if (!(result instanceof DrainResult.Done)) {
            return result;
        }
        return self.undrain() ? result : new DrainResult.Stopping();
    }

    private DrainResult toResult(Result<Long, StoreError> written) {
        return switch (written) {
            case Result.Ok<Long, StoreError> ok -> {
                known = true;
                self.endHold();
                yield new DrainResult.Done();
            }
            case Result.Err<Long, StoreError>(StoreError error) -> new DrainResult.NotRecorded(error);
        };
    }

    private Deadline deadline() {
        return Deadline.afterMillis(time, CALL_MILLIS);
    }

    @Override
    public void close() {
        reader.ifPresent(Thread::interrupt);
        if (self.isDrained()) {
            store.delete(key, new Precondition.None(), deadline());
        }
    }
}

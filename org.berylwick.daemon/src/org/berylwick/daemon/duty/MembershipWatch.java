package org.berylwick.daemon.duty;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.berylwick.errors.StoreError;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.MembershipEvent;
import org.berylwick.internal.event.StoreEvent;
import org.berylwick.internal.kernel.Duty;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.PlatformStore;
import org.berylwick.transport.Precondition;
import org.berylwick.transport.StoredObject;
import org.berylwick.transport.WatchBatch;

/**
 * Announces the own member in the store and follows everybody else's announcement there: the baseline, which costs the
 * store calls in proportion to the fleet.
 */
public final class MembershipWatch implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "membership-watch";

    private static final EventLog EVENTS = new EventLog(MembershipWatch.class);
    private static final String PREFIX = "members/";
    private static final long WATCH_MILLIS = 10_000;
    private static final long CALL_MILLIS = 2_000;
    private static final long PAUSE_MILLIS = 500;

    private final PlatformStore store;
    private final MembershipTable table;
    private final SelfAnnouncement self;
    private final TimeSource time;
    private Optional<Long> revision = Optional.empty();
    private Member written;
    private Duty follower;
    private Duty announcer;

    /** A watch that begins with {@link #start()}. */
    public MembershipWatch(PlatformStore store, MembershipTable table, SelfAnnouncement self, TimeSource time) {
        this.store = store;
        this.table = table;
        this.self = self;
        this.time = time;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        follower = new Duty(NAME, this::follow);
        announcer = new Duty("membership-announcer", this::announce);
    }

    private void follow() throws InterruptedException {
        Result<WatchBatch, StoreError> batch = revision.isEmpty()
                ? store.list(PREFIX, Deadline.afterMillis(time, CALL_MILLIS))
                : store.watch(PREFIX, revision.get(), Deadline.afterMillis(time, WATCH_MILLIS));
        switch (batch) {
            case Result.Ok<WatchBatch, StoreError>(WatchBatch seen) -> {
                revision = Optional.of(seen.revision());
                seen.changed().forEach(this::merge);
            }
            case Result.Err<WatchBatch, StoreError>(StoreError error) -> {
                EVENTS.log(StoreEvent.MEMBERS_LOST, error);
                revision = Optional.empty();
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        }
    }

    private void merge(StoredObject object) {
        if (object.deleted()) {
            table.remove(object.key().path().substring(PREFIX.length()));
            return;
        }
        switch (ConfigurationCodec.decode(object.value(), Member.class)) {
            case Result.Ok<Member, String>(Member member) -> table.merge(member);
            case Result.Err<Member, String>(String detail) ->
                EVENTS.log(MembershipEvent.UNREADABLE_RECORD, object.key(), detail);
        }
    }

    private void announce() throws InterruptedException {
        Member now = self.current();
        if (!now.equals(written)) {
            Result<Long, StoreError> put = store.put(
                    key(),
                    ConfigurationCodec.encode(now),
                    new Precondition.None(),
                    Deadline.afterMillis(time, CALL_MILLIS));
            if (put instanceof Result.Ok<Long, StoreError>) {
                written = now;
                table.merge(now);
            } else {
                EVENTS.log(MembershipEvent.NOT_ANNOUNCED, put);
            }
        }
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS / 5);
    }

    private ObjectKey key() {
        return new ObjectKey(PREFIX + self.current().instance());
    }

    @Override
    public void close() {
        announcer.close();
        follower.close();
        store.delete(key(), new Precondition.None(), Deadline.afterMillis(time, CALL_MILLIS));
    }
}

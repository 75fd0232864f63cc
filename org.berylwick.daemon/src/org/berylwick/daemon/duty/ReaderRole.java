package org.berylwick.daemon.duty;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.errors.StoreError;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.StoreEvent;
import org.berylwick.internal.kernel.Duty;
import org.berylwick.internal.membership.MemberHash;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.spread.ReaderLease;
import org.berylwick.internal.spread.Spreader;
import org.berylwick.internal.spread.StoreFreshness;
import org.berylwick.internal.spread.TokenBucket;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.PlatformStore;
import org.berylwick.transport.Precondition;
import org.berylwick.transport.StoredObject;

/** Holds a place as one of the zone's readers of the store when there is one to hold. */
final class ReaderRole implements AutoCloseable {
    private static final EventLog EVENTS = new EventLog(ReaderRole.class);
    private static final String NAME = "reader-role";
    private static final String READERS = "readers/";
    private static final long TICK_MILLIS = 100;
    private static final long LOOK_MILLIS = 500;
    private static final long CALL_MILLIS = 2_000;
    private static final long RELEASE_MILLIS = 500;
    private static final long LEASE_MILLIS = 15_000;
    private static final long RENEW_MILLIS = 7_000;
    private static final long STALE_MILLIS = 15_000;
    private static final long ALONE_MILLIS = 2_000;
    private static final long JITTER_MILLIS = 3_000;
    private static final double FLEET_CALLS_PER_SECOND = 400;
    private static final int FEWEST_MEMBERS = 40;

    private final PlatformStore store;
    private final DaemonSettings settings;
    private final MembershipTable table;
    private final Spreader spreader;
    private final StoreFreshness freshness;
    private final TokenBucket budget;
    private final PeerDirectory directory;
    private final TimeSource time;
    private final RandomGenerator random;
    private final long staleAfterMillis;
    private volatile Optional<Integer> slot = Optional.empty();
    private volatile Deadline heldUntil;
    private Deadline nextLease;
    private Deadline aloneUntil;
    private Duty duty;

    /** Everything that the role works with. */
    record Parts(
            PlatformStore store,
            DaemonSettings settings,
            MembershipTable table,
            Spreader spreader,
            StoreFreshness freshness,
            TokenBucket budget) {}

    ReaderRole(Parts parts, TimeSource time, RandomGenerator random) {
        store = parts.store();
        settings = parts.settings();
        table = parts.table();
        spreader = parts.spreader();
        freshness = parts.freshness();
        budget = parts.budget();
        this.time = time;
        this.random = random;
        directory = new PeerDirectory(parts, time, random);
        staleAfterMillis = STALE_MILLIS + random.nextLong(STALE_MILLIS);
        heldUntil = new Deadline(time.nanoTime());
        nextLease = heldUntil;
        aloneUntil = nextAlone();
    }

    private Deadline nextAlone() {
        return Deadline.afterMillis(time, ALONE_MILLIS + random.nextLong(JITTER_MILLIS));
    }

    void start() {
        duty = new Duty(NAME, this::round);
    }

    /** This daemon's place among the zone's readers; empty if it has none now. */
    Optional<Integer> slot() {
        return heldUntil.isPast(time) ? Optional.empty() : slot;
    }

    private void round() throws InterruptedException {
        boolean alone = spreader.establishedLinkCount() == 0;
        if (!alone) {
            // Each daemon's share of the store's rate shrinks as the fleet grows.
            int members = Math.max(FEWEST_MEMBERS, table.view().all().size());
            budget.setRate(FLEET_CALLS_PER_SECOND / members);
        }
        if (!alone) {
            aloneUntil = nextAlone();
        } else if (directory.search() == PeerDirectory.Search.EMPTY) {
            // Nobody is there yet, so somebody must be the first.
            aloneUntil = aloneUntil.earlier(Deadline.afterMillis(time, random.nextLong(TICK_MILLIS * 10)));
        }
        if (nextLease.isPast(time)) {
            nextLease = Deadline.afterMillis(time, LOOK_MILLIS);
            if (isCandidate(alone)) {
                renew();
            }
        }
        if (slot().filter(s -> s == 0).isPresent()) {
            directory.keep();
        }
        TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
    }

    /** Whether to look at the lease at all: few daemons do, and the rest never ask the store who reads. */
    private boolean isCandidate(boolean alone) {
        if (slot().isPresent() || freshness.ageMillis() > staleAfterMillis) {
            return true;
        }
        return alone ? aloneUntil.isPast(time) : isRankedFirst();
    }

    private boolean isRankedFirst() {
        List<String> zone = table.view().all().stream()
                .filter(m -> m.place().equals(settings.place()))
                .filter(m -> m.state() == Member.State.UP || m.state() == Member.State.STARTING)
                .sorted(Comparator.comparingLong(m -> MemberHash.ofText(m.instance())))
                .map(Member::instance)
                .toList();
        int rank = zone.indexOf(settings.instance());
        return rank >= 0 && rank < settings.spread().readers();
    }

    private void renew() {
        if (!budget.tryTake()) {
            return;
        }
        nextLease = Deadline.afterMillis(time, RENEW_MILLIS - random.nextLong(JITTER_MILLIS));
        ObjectKey key = leaseKey();
        Deadline deadline = Deadline.afterMillis(time, CALL_MILLIS);
        Result<Optional<StoredObject>, StoreError> found = store.get(key, deadline);
        if (!(found instanceof Result.Ok<Optional<StoredObject>, StoreError>(Optional<StoredObject> object))) {
            return;
        }
        freshness.recordLocalContact();
        long now = time.epochMillis();
        ReaderLease lease = object.map(ReaderRole::decode).orElse(ReaderLease.EMPTY);
        switch (lease.acquireOrRenew(settings.instance(), now, settings.spread().readers(), now + LEASE_MILLIS)) {
            case ReaderLease.Decision.Full() -> give("all places are taken");
            case ReaderLease.Decision.Write(ReaderLease next, int newSlot) -> {
                budget.charge(1);
                Precondition precondition = object.<Precondition>map(o -> new Precondition.MustHaveVersion(o.version()))
                        .orElse(new Precondition.MustBeAbsent());
                Result<Long, StoreError> put = store.put(key, ConfigurationCodec.encode(next), precondition, deadline);
                if (put instanceof Result.Ok<Long, StoreError>) {
                    hold(newSlot);
                } else {
                    nextLease = Deadline.afterMillis(time, random.nextLong(JITTER_MILLIS));
                }
            }
        }
    }

    private static ReaderLease decode(StoredObject object) {
        return switch (ConfigurationCodec.decode(object.value(), ReaderLease.class)) {
            case Result.Ok<ReaderLease, String>(ReaderLease lease) -> lease;
            // Nothing but places is lost with an unreadable lease, and the next write makes it readable.
            case Result.Err<ReaderLease, String> ignored -> ReaderLease.EMPTY;
        };
    }

    private void hold(int newSlot) {
        if (slot().filter(s -> s == newSlot).isEmpty()) {
            EVENTS.log(StoreEvent.READER, settings.place(), newSlot);
        }
        heldUntil = Deadline.afterMillis(time, LEASE_MILLIS);
        slot = Optional.of(newSlot);
    }

    private void give(String reason) {
        if (slot.isPresent()) {
            EVENTS.log(StoreEvent.READER_ENDED, reason);
        }
        slot = Optional.empty();
    }

    /** Frees the place, so that the next daemon need not wait for the lease to lapse. */
    private void release() {
        ObjectKey key = leaseKey();
        Deadline deadline = Deadline.afterMillis(time, RELEASE_MILLIS);
        if (store.get(key, deadline) instanceof Result.Ok<Optional<StoredObject>, StoreError>(var found)
                && found.isPresent()) {
            ReaderLease next = decode(found.get()).without(settings.instance());
            store.put(
                    key,
                    ConfigurationCodec.encode(next),
                    new Precondition.MustHaveVersion(found.get().version()),
                    deadline);
        }
    }

    private ObjectKey leaseKey() {
        Place place = settings.place();
        return new ObjectKey(READERS + place.region() + "/" + place.availabilityZone());
    }

    @Override
    public void close() {
        duty.close();
        if (slot().isPresent()) {
            release();
        }
    }
}

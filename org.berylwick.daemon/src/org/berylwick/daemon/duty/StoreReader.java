package org.berylwick.daemon.duty;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.StoreEvent;
import org.berylwick.internal.event.VersionEvent;
import org.berylwick.internal.kernel.Duty;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.spread.StoreFreshness;
import org.berylwick.internal.spread.TokenBucket;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.InstalledVersion.Install;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.internal.version.VersionRepository.Watched;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Place;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;

/**
 * Follows the store's head while this daemon is one of its zone's readers, and reads the head once at the start.
 *
 * <p>Only readers take content from the store: when all daemons are replaced at once, each of them reading a whole
 * version there would use up its rate for a minute.
 *
 * <p>All readers see a new head at the same moment, and one of them is enough to read the content: the others wait for
 * their turn, and mostly have the version from a peer before it comes.
 */
final class StoreReader implements AutoCloseable {
    private static final EventLog EVENTS = new EventLog(StoreReader.class);
    private static final String NAME = "store-reader";
    private static final long WATCH_MILLIS = 10_000;
    private static final long READ_MILLIS = 5_000;
    private static final long TURN_MILLIS = 400;
    private static final long TICK_MILLIS = 20;
    private static final long IDLE_MILLIS = 100;
    private static final long PAUSE_MILLIS = 500;

    private final VersionRepository repository;
    private final InstalledVersion installed;
    private final MembershipTable table;
    private final ReaderRole role;
    private final Place place;
    private final StoreFreshness freshness;
    private final TokenBucket budget;
    private final TimeSource time;
    private final RandomGenerator random;
    private Optional<Long> revision = Optional.empty();
    private Deadline nextFirstRead;
    private final FirstVersion first;
    private boolean heardHead;
    private Duty duty;

    /** Everything that a reader works with. */
    record Parts(
            VersionRepository repository,
            InstalledVersion installed,
            FirstVersion first,
            MembershipTable table,
            ReaderRole role,
            Place place,
            StoreFreshness freshness,
            TokenBucket budget) {}

    StoreReader(Parts parts, TimeSource time, RandomGenerator random) {
        repository = parts.repository();
        installed = parts.installed();
        first = parts.first();
        table = parts.table();
        role = parts.role();
        place = parts.place();
        freshness = parts.freshness();
        budget = parts.budget();
        this.time = time;
        this.random = random;
        nextFirstRead = Deadline.afterMillis(time, random.nextLong(PAUSE_MILLIS));
    }

    void start() {
        duty = new Duty(NAME, this::round);
    }

    private void round() throws InterruptedException {
        if (!heardHead && nextFirstRead.isPast(time)) {
            readFirstHead();
        }
        if (role.slot().isEmpty()) {
            revision = Optional.empty();
            TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
            return;
        }
        follow();
    }

    private void readFirstHead() {
        nextFirstRead = Deadline.afterMillis(time, PAUSE_MILLIS + random.nextLong(PAUSE_MILLIS));
        if (!budget.tryTake()) {
            return;
        }
        if (repository.readHead(Deadline.afterMillis(time, READ_MILLIS))
                instanceof Result.Ok<AcceptedHead, VersionError>(AcceptedHead head)) {
            freshness.recordLocalContact();
            heardHead = true;
            first.heardStore(head.id());
        }
    }

    private void follow() throws InterruptedException {
        VersionId before = installed.snapshot().id();
        Result<Optional<AcceptedHead>, VersionError> seen = revision.isEmpty() ? readHead() : watch(revision.get());
        switch (seen) {
            case Result.Err<Optional<AcceptedHead>, VersionError>(VersionError error) -> {
                EVENTS.log(StoreEvent.HEAD_LOST, error);
                revision = Optional.empty();
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS + random.nextLong(PAUSE_MILLIS));
            }
            case Result.Ok<Optional<AcceptedHead>, VersionError>(Optional<AcceptedHead> head) -> {
                freshness.recordLocalContact();
                if (head.isPresent()
                        && installed.noteHead(before, head.get().id())
                        && !comesFromPeers(head.get().id())) {
                    read(head.get().id());
                }
            }
        }
    }

    private Result<Optional<AcceptedHead>, VersionError> readHead() {
        budget.charge(1);
        return repository.readHead(Deadline.afterMillis(time, READ_MILLIS)).map(head -> {
            first.heardStore(head.id());
            revision = Optional.of(head.headVersion());
            return Optional.of(head);
        });
    }

    private Result<Optional<AcceptedHead>, VersionError> watch(long after) {
        return repository
                .watchHead(after, Deadline.afterMillis(time, WATCH_MILLIS))
                .map(this::advance);
    }

    private Optional<AcceptedHead> advance(Watched watched) {
        revision = Optional.of(watched.revision());
        return watched.head();
    }

    /** Waits for this reader's turn; true if the version came from a peer before it. */
    private boolean comesFromPeers(VersionId id) throws InterruptedException {
        Deadline turn = Deadline.afterMillis(time, turn(id) * TURN_MILLIS);
        while (id.isNewerThan(installed.snapshot().id())) {
            if (turn.isPast(time)) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
        }
        return true;
    }

    /** The zones' first readers take turns by version number, then their second ones. */
    private long turn(VersionId id) {
        List<String> zones = table.view().all().stream()
                .map(m -> m.place().region() + "/" + m.place().availabilityZone())
                .distinct()
                .sorted()
                .toList();
        int zone = Math.max(0, zones.indexOf(place.region() + "/" + place.availabilityZone()));
        long first = (zone + id.number()) % Math.max(1, zones.size());
        return first + (long) role.slot().orElse(0) * zones.size();
    }

    private void read(VersionId id) throws InterruptedException {
        if (!id.isNewerThan(installed.snapshot().id())) {
            return;
        }
        Deadline deadline = Deadline.afterMillis(time, READ_MILLIS);
        switch (repository.read(id, installed.inForce().parts(), deadline)) {
            case Result.Ok<VersionContent, VersionError>(VersionContent content) -> {
                Install outcome = installed.install(content);
                EVENTS.log(VersionEvent.INSTALL, id, outcome);
                if (outcome instanceof Install.Unproven) {
                    revision = Optional.empty();
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                }
            }
            case Result.Err<VersionContent, VersionError>(VersionError error) -> {
                EVENTS.log(VersionEvent.UNREADABLE, id, error);
                revision = Optional.empty();
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS + random.nextLong(PAUSE_MILLIS));
            }
        }
    }

    @Override
    public void close() {
        duty.close();
    }
}

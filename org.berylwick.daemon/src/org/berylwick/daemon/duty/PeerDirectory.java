package org.berylwick.daemon.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.berylwick.errors.StoreError;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.MembershipEvent;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.membership.ZoneDirectory;
import org.berylwick.internal.spread.SpreadEvent;
import org.berylwick.internal.spread.Spreader;
import org.berylwick.internal.spread.TokenBucket;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Place;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.PlatformStore;
import org.berylwick.transport.Precondition;
import org.berylwick.transport.StoredObject;
import org.berylwick.transport.WatchBatch;

/** Reads and keeps the zones' directories in the store; for the reader role's thread alone. */
final class PeerDirectory {
    private static final EventLog EVENTS = new EventLog(PeerDirectory.class);
    private static final String DIRECTORY = "directory/";
    private static final long CALL_MILLIS = 2_000;
    private static final long FIRST_SEARCH_MILLIS = 200;
    private static final long SEARCH_MILLIS = 1_500;
    private static final long WRITE_MILLIS = 5_000;
    private static final long CHECK_MILLIS = 60_000;
    private static final int YOUNG_MEMBERS = 2;

    private final PlatformStore store;
    private final Place place;
    private final MembershipTable table;
    private final Spreader spreader;
    private final TokenBucket budget;
    private final TimeSource time;
    private final RandomGenerator random;
    private Deadline nextSearch;
    private Deadline nextWrite;
    private Deadline nextCheck;
    private ZoneDirectory written = new ZoneDirectory(List.of());

    /** What a search for peers found. */
    enum Search {
        /** The directory names daemons; the spreader was told. */
        FOUND,
        /** The directory names nobody. */
        EMPTY,
        /** Not asked, or no answer. */
        UNKNOWN
    }

    PeerDirectory(ReaderRole.Parts parts, TimeSource time, RandomGenerator random) {
        store = parts.store();
        place = parts.settings().place();
        table = parts.table();
        spreader = parts.spreader();
        budget = parts.budget();
        this.time = time;
        this.random = random;
        nextSearch = Deadline.afterMillis(time, random.nextLong(FIRST_SEARCH_MILLIS));
        nextWrite = new Deadline(time.nanoTime());
        nextCheck = nextWrite;
    }

    /** Looks for peers, if it is time to and the budget allows. */
    Search search() {
        if (!nextSearch.isPast(time) || !budget.tryTake()) {
            return Search.UNKNOWN;
        }
        nextSearch = Deadline.afterMillis(time, SEARCH_MILLIS / 2 + random.nextLong(SEARCH_MILLIS));
        return read();
    }

    private Search read() {
        return switch (store.list(DIRECTORY, Deadline.afterMillis(time, CALL_MILLIS))) {
            case Result.Err<WatchBatch, StoreError>(StoreError error) -> {
                EVENTS.log(MembershipEvent.DIRECTORY_LOST, error);
                yield Search.UNKNOWN;
            }
            case Result.Ok<WatchBatch, StoreError>(WatchBatch batch) -> {
                List<HostPort> addresses = new ArrayList<>();
                for (StoredObject o : batch.changed()) {
                    switch (ConfigurationCodec.decode(o.value(), ZoneDirectory.class)) {
                        case Result.Ok<ZoneDirectory, String>(ZoneDirectory zone) -> addresses.addAll(zone.addresses());
                        case Result.Err<ZoneDirectory, String>(String detail) ->
                            EVENTS.log(MembershipEvent.UNREADABLE_RECORD, o.key(), detail);
                    }
                }
                if (addresses.isEmpty()) {
                    yield Search.EMPTY;
                }
                spreader.submit(new SpreadEvent.PeersDiscovered(addresses));
                yield Search.FOUND;
            }
        };
    }

    /** Writes the own zone's directory when it changed, and now and then looks for daemons that nobody here knows. */
    void keep() {
        ZoneDirectory now = ZoneDirectory.of(table.view(), place);
        if (!now.equals(written) && nextWrite.isPast(time) && budget.tryTake()) {
            nextWrite = Deadline.afterMillis(time, WRITE_MILLIS);
            ObjectKey key = new ObjectKey(DIRECTORY + place.region() + "/" + place.availabilityZone());
            // Two readers that both take themselves for the first write nearly the same; what one left out
            // the next change puts right.
            Result<Long, StoreError> put = store.put(
                    key,
                    ConfigurationCodec.encode(now),
                    new Precondition.None(),
                    Deadline.afterMillis(time, CALL_MILLIS));
            if (put instanceof Result.Ok<Long, StoreError>) {
                written = now;
            } else {
                EVENTS.log(MembershipEvent.DIRECTORY_LOST, put);
            }
        }
        // Groups that started apart, or lost each other for longer than they remember, meet again by the directory.
        if (nextCheck.isPast(time) && budget.tryTake()) {
            boolean young = table.view().all().size() <= YOUNG_MEMBERS || zones() == 1;
            nextCheck =
                    Deadline.afterMillis(time, young ? SEARCH_MILLIS + random.nextLong(SEARCH_MILLIS) : CHECK_MILLIS);
            read();
        }
    }

    private long zones() {
        return table.view().all().stream().map(m -> m.place()).distinct().count();
    }
}

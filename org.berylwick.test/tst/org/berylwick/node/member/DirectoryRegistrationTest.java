package org.berylwick.node.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.member.NodeDirectory.Entry;
import org.berylwick.node.member.NodeDirectory.WriteResult;
import org.junit.jupiter.api.Test;

/** Tests what a node's entry in the directory holds when the store is slow, loses responses or executes calls late. */
class DirectoryRegistrationTest {
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;

    private final VirtualClock clock = new VirtualClock();
    private final FaultyDirectory directory = new FaultyDirectory();
    private final List<String> departuresRead = new ArrayList<>();
    private final List<String> recorded = new ArrayList<>();

    /** What the store does to a write. */
    private enum Fault {
        NONE,
        REFUSED,
        RESPONSE_LOST
    }

    /** A directory with the entry of one node, which meets each write with the next fault. */
    private final class FaultyDirectory implements NodeDirectory {
        private final Queue<Fault> faults = new ArrayDeque<>();
        private Optional<Entry> entry = Optional.empty();
        private long revision = 7;
        private int writes;

        @Override
        public void create(Entry created, long timeoutMillis, Consumer<WriteResult> onResult) {
            write(created, entry.isEmpty(), timeoutMillis, onResult);
        }

        @Override
        public void replace(Entry newEntry, long expected, long timeoutMillis, Consumer<WriteResult> onResult) {
            write(newEntry, expected == revision, timeoutMillis, onResult);
        }

        private void write(Entry sent, boolean allowed, long timeoutMillis, Consumer<WriteResult> onResult) {
            writes++;
            Fault fault = faults.isEmpty() ? Fault.NONE : faults.remove();
            if (allowed && fault != Fault.REFUSED) {
                entry = Optional.of(sent);
                revision++;
            }
            WriteResult result = allowed
                    ? new WriteResult.Written(revision)
                    : new WriteResult.Conflict(entry.orElseThrow(), revision);
            switch (fault) {
                case NONE -> clock.after(4 * NANOS_PER_MILLISECOND, () -> onResult.accept(result));
                case REFUSED -> clock.defer(() -> onResult.accept(new WriteResult.Failed("refused")));
                case RESPONSE_LOST ->
                    clock.after(
                            timeoutMillis * NANOS_PER_MILLISECOND,
                            () -> onResult.accept(new WriteResult.Failed("no response")));
            }
        }

        @Override
        public void read(String vmName, long timeoutMillis, Consumer<ReadResult> onResult) {
            throw new AssertionError("no entry is read");
        }

        @Override
        public void list(Consumer<ListResult> onResult) {
            throw new AssertionError("the directory is not listed");
        }
    }

    private DirectoryRegistration start() {
        DirectoryRegistration registration = new DirectoryRegistration(
                clock,
                directory,
                new Instruments(new Counters(), new EventLog("test", OutputStream.nullOutputStream())),
                "vm-1",
                "10.0.0.1",
                List::of);
        registration.setEntryListener(entry -> departuresRead.addAll(entry.departures()));
        registration.start(() -> {});
        return registration;
    }

    private void runFor(long millis) {
        clock.runUntil(clock.now() + millis * NANOS_PER_MILLISECOND);
    }

    private void record(DirectoryRegistration registration, String incarnation) {
        registration.record(incarnation, () -> recorded.add(incarnation));
    }

    /** Guards against departures that the next process of the node does not know. */
    @Test
    void laterProcessReadsWhatEarlierOnesRecorded() {
        DirectoryRegistration earlier = start();
        record(earlier, "i-1");
        record(earlier, "i-2");
        runFor(100);
        assertEquals(List.of("i-1", "i-2"), recorded);
        start();
        runFor(100);
        assertEquals(List.of("i-1", "i-2"), departuresRead);
    }

    /** Guards against an acknowledgement that comes too late because the response to a write was lost. */
    @Test
    void lostResponseIsNoticedWithinASecond() {
        DirectoryRegistration registration = start();
        runFor(100);
        directory.faults.add(Fault.RESPONSE_LOST);
        record(registration, "i-1");
        runFor(900);
        assertEquals(List.of("i-1"), recorded);
    }

    /** Guards against a departure that is taken for recorded though the store has refused it. */
    @Test
    void refusedWriteIsRepeatedUntilItIsStored() {
        DirectoryRegistration registration = start();
        runFor(100);
        for (int i = 0; i < 5; i++) {
            directory.faults.add(Fault.REFUSED);
        }
        record(registration, "i-1");
        runFor(100);
        assertEquals(List.of(), recorded);
        runFor(3_000);
        assertEquals(List.of("i-1"), recorded);
    }

    /** Guards against a write of this process that drops what another one has added since it read the entry. */
    @Test
    void departureOfAnotherProcessIsKept() {
        DirectoryRegistration first = start();
        runFor(100);
        DirectoryRegistration second = start();
        runFor(100);
        record(second, "i-2");
        runFor(100);
        record(first, "i-1");
        runFor(100);
        assertEquals(List.of("i-2", "i-1"), directory.entry.orElseThrow().departures());
    }

    /** Guards against calls to the store that add nothing. */
    @Test
    void departureIsWrittenOnce() {
        DirectoryRegistration registration = start();
        record(registration, "i-1");
        record(registration, "i-1");
        runFor(100);
        record(registration, "i-1");
        runFor(100);
        assertEquals(3, recorded.size());
        assertTrue(directory.writes <= 2, "writes: " + directory.writes);
    }
}

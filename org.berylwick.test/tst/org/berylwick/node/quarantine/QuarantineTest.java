package org.berylwick.node.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.lib.RequestFingerprint;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.Instruments;
import org.junit.jupiter.api.Test;

/** Tests which requests are held back after crashes, and that nodes which hear the same reports agree on it. */
class QuarantineTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final String URI = "/read/x";
    private static final RequestFingerprint REQUEST =
            RequestFingerprint.of("GET", "shop.example", URI, Unpooled.EMPTY_BUFFER);

    private final VirtualClock clock = new VirtualClock();
    private final EventLog log = new EventLog("test", OutputStream.nullOutputStream());
    private final Quarantine quarantine = newQuarantine();

    private Quarantine newQuarantine() {
        return new Quarantine(clock::now, new HoldLog(new Instruments(new Counters(), log)));
    }

    private static long holdSeconds(Quarantine of) {
        return of.remainingHoldNanos(URI, () -> Optional.of(REQUEST)) / NANOS_PER_SECOND;
    }

    private void crash(int number) {
        int known = quarantine.generation(URI, () -> Optional.of(REQUEST));
        quarantine.onCrashed(REQUEST, "i-" + number, known);
    }

    /** A single crash says little; the second in succession holds the request back briefly, each further one longer. */
    @Test
    void holdGrowsWithEachCrashInSuccession() {
        long[] expectedSeconds = {0, 5, 300, 1_200, 3_600, 3_600};
        for (int i = 0; i < expectedSeconds.length; i++) {
            crash(i);
            assertEquals(expectedSeconds[i], holdSeconds(quarantine), "after crash " + (i + 1));
        }
    }

    /** Guards against a hold for what was running on several backend servers that ended at one moment. */
    @Test
    void crashesThatDoNotFollowEachOtherCountOnce() {
        for (int i = 0; i < 5; i++) {
            quarantine.onCrashed(REQUEST, "i-" + i, 0);
        }
        assertEquals(0, holdSeconds(quarantine));
    }

    /** Guards against a crash that is counted again with each datagram that repeats it. */
    @Test
    void repeatedReportChangesNothing() {
        for (int i = 0; i < 10; i++) {
            quarantine.merge(new SuspectReport.Crashed(REQUEST, 1, 1, 0));
            quarantine.merge(new SuspectReport.Crashed(REQUEST, 2, 2, 0));
        }
        assertEquals(5, holdSeconds(quarantine));
    }

    @Test
    void completedRequestIsCleared() {
        crash(1);
        crash(2);
        quarantine.onCompleted(URI, () -> Optional.of(REQUEST));
        assertEquals(0, holdSeconds(quarantine));
        quarantine.merge(new SuspectReport.Crashed(REQUEST, 2, 2, -1));
        assertEquals(0, holdSeconds(quarantine), "after a late report of the crashes before");
        crash(3);
        assertEquals(0, holdSeconds(quarantine), "after a first crash since");
    }

    /** Guards against memory that grows with each crash. */
    @Test
    void suspectsAreBoundedAndTheHeldOnesStay() {
        crash(1);
        crash(2);
        crash(3);
        for (int i = 0; i < 5_000; i++) {
            quarantine.merge(new SuspectReport.Crashed(new RequestFingerprint(i, i), 1, i, clock.now()));
        }
        assertEquals(300, holdSeconds(quarantine));
        assertEquals(1, quarantine.heldCount());
    }

    private static SuspectReport randomReport(Random random) {
        RequestFingerprint request = new RequestFingerprint(7, random.nextInt(3));
        long at = random.nextInt(20) * NANOS_PER_SECOND / 10;
        return random.nextInt(4) == 0
                ? new SuspectReport.Completed(request, at)
                : new SuspectReport.Crashed(request, 1 + random.nextInt(4), random.nextInt(12), at);
    }

    /** Guards against nodes that disagree for good because datagrams were lost or arrived in another order. */
    @Property(tries = 300)
    void nodesThatExchangeSnapshotsAgree(@ForAll @IntRange(min = 1, max = 30) int count, @ForAll long seed) {
        Random random = new Random(seed);
        clock.runUntil(3 * NANOS_PER_SECOND);
        List<SuspectReport> reports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            reports.add(randomReport(random));
        }
        Quarantine first = newQuarantine();
        Quarantine second = newQuarantine();
        for (Quarantine node : List.of(first, second)) {
            Collections.shuffle(reports, random);
            reports.stream().filter(report -> random.nextInt(4) > 0).forEach(node::merge);
        }
        for (int round = 0; round < 3 && first.checksum() != second.checksum(); round++) {
            List<SuspectReport> ofSecond = second.snapshot();
            first.snapshot().forEach(second::merge);
            ofSecond.forEach(first::merge);
        }
        assertEquals(first.checksum(), second.checksum(), reports.toString());
        assertEquals(first.heldCount(), second.heldCount(), reports.toString());
    }

    @Property(tries = 200)
    void decodesWhatWasEncoded(@ForAll long seed, @ForAll @IntRange(max = 24) int count) {
        Random random = new Random(seed);
        long now = 3 * NANOS_PER_SECOND;
        List<SuspectReport> reports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            reports.add(randomReport(random));
        }
        ByteBuf bytes = Unpooled.buffer();
        SuspectReportCodec.encode(reports, now, bytes);
        assertEquals(SuspectReportCodec.MAGIC, bytes.readInt());
        assertEquals(reports, SuspectReportCodec.decode(bytes, now));
    }

    @Property(tries = 500)
    void arbitraryBytesCauseNoException(@ForAll byte[] bytes) {
        List<SuspectReport> reports = SuspectReportCodec.decode(Unpooled.wrappedBuffer(bytes), 0);
        reports.forEach(newQuarantine()::merge);
        assertTrue(reports.size() <= bytes.length);
    }

    /** Guards against a request that is taken for another one because its body arrived in other parts. */
    @Property(tries = 200)
    void fingerprintDependsOnTheBytesAndNotOnTheirParts(
            @ForAll @Size(min = 1, max = 300) byte[] body, @ForAll @IntRange(max = 300) int split) {
        int at = Math.min(split, body.length);
        ByteBuf whole = Unpooled.wrappedBuffer(body);
        ByteBuf parts = Unpooled.wrappedBuffer(whole.copy(0, at), whole.copy(at, body.length - at));
        RequestFingerprint fingerprint = RequestFingerprint.of("POST", "Shop.example", URI, whole);
        assertEquals(fingerprint, RequestFingerprint.of("POST", "shop.EXAMPLE", URI, parts));
        byte[] other = body.clone();
        other[at % other.length]++;
        assertNotEquals(fingerprint, RequestFingerprint.of("POST", "shop.example", URI, Unpooled.wrappedBuffer(other)));
        assertNotEquals(fingerprint, RequestFingerprint.of("PUT", "shop.example", URI, whole));
    }
}

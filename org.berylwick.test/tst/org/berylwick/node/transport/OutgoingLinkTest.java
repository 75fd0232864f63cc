package org.berylwick.node.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.berylwick.bench.emulate.VirtualClock;
import org.junit.jupiter.api.Test;

/** Tests the order and the pace in which responses are sent over a narrow link. */
class OutgoingLinkTest {
    private static final long NANOS_PER_MS = 1_000_000L;
    private static final double NARROW_MBPS = 7;
    private static final int LARGE_BYTES = 90_000;
    private static final int SMALL_BYTES = 2_000;

    private final VirtualClock clock = new VirtualClock();
    private final OutgoingLink link = new OutgoingLink(NARROW_MBPS, clock);

    /** A connection that records the number of bytes written to it and the time of each write. */
    private final class RecordingSink implements OutgoingLink.Sink {
        private final List<Long> writeTimes = new ArrayList<>();
        private int writtenBytes;
        private boolean writable = true;
        private boolean sourceReading = true;
        private boolean finished;

        @Override
        public void write(ByteBuf part) {
            writtenBytes += part.readableBytes();
            writeTimes.add(clock.now());
            part.release();
        }

        @Override
        public boolean isWritable() {
            return writable;
        }

        @Override
        public void setSourceReading(boolean enabled) {
            sourceReading = enabled;
        }
    }

    private OutgoingLink.Flow send(RecordingSink sink, int bytes, long dueAt) {
        OutgoingLink.Flow flow = link.openFlow(sink, dueAt);
        flow.write(Unpooled.wrappedBuffer(new byte[bytes]));
        flow.finish(() -> sink.finished = true);
        return flow;
    }

    /** A response of 2 KB is sent immediately although three responses of 90 KB are queued. */
    @Test
    void smallResponsesAreSentImmediately() {
        RecordingSink large = new RecordingSink();
        for (int i = 0; i < 3; i++) {
            send(large, LARGE_BYTES, 1_000 * NANOS_PER_MS);
        }
        clock.runUntil(50 * NANOS_PER_MS);
        RecordingSink small = new RecordingSink();
        send(small, SMALL_BYTES, 300 * NANOS_PER_MS);
        assertTrue(small.finished);
        assertEquals(List.of(50 * NANOS_PER_MS), small.writeTimes);
    }

    /**
     * Only the bytes that are sent ahead of the link can delay a small response in the operating system, so they are
     * few.
     */
    @Test
    void sendAheadIsBounded() {
        RecordingSink large = new RecordingSink();
        send(large, LARGE_BYTES, 1_000 * NANOS_PER_MS);
        for (long time = 0; time < 60 * NANOS_PER_MS; time += NANOS_PER_MS) {
            clock.runUntil(time);
            double maxTransmittedBytes = time * NARROW_MBPS / 8_000;
            assertTrue(
                    large.writtenBytes - maxTransmittedBytes <= 28_000,
                    large.writtenBytes + " bytes after " + time / NANOS_PER_MS + " ms");
        }
    }

    /** Of two queued responses, the one that is due first is sent first, and both are sent at the rate of the link. */
    @Test
    void earliestDueResponseIsSentFirst() {
        RecordingSink dueLater = new RecordingSink();
        RecordingSink dueFirst = new RecordingSink();
        send(dueLater, LARGE_BYTES, 1_000 * NANOS_PER_MS);
        send(dueFirst, LARGE_BYTES, 500 * NANOS_PER_MS);
        clock.runUntil(130 * NANOS_PER_MS);
        assertTrue(dueFirst.finished);
        assertTrue(!dueLater.finished);
        clock.runUntil(240 * NANOS_PER_MS);
        assertTrue(dueLater.finished);
        assertTrue(dueLater.writeTimes.getLast() > 170 * NANOS_PER_MS, "sent faster than the link allows");
    }

    /** A response that is late already yields to one that can still be in time, and is sent after it. */
    @Test
    void lateResponseYieldsAndIsStillSent() {
        clock.runUntil(100 * NANOS_PER_MS);
        RecordingSink late = new RecordingSink();
        RecordingSink onTime = new RecordingSink();
        send(late, LARGE_BYTES, 50 * NANOS_PER_MS);
        send(onTime, LARGE_BYTES, 400 * NANOS_PER_MS);
        clock.runUntil(250 * NANOS_PER_MS);
        assertTrue(onTime.finished);
        assertTrue(!late.finished);
        clock.runUntil(400 * NANOS_PER_MS);
        assertTrue(late.finished);
        assertEquals(LARGE_BYTES, late.writtenBytes);
    }

    /** Guards against a late response that is never sent while responses that can be in time keep arriving. */
    @Test
    void lateResponseIsSentUnderSteadyLoad() {
        clock.runUntil(100 * NANOS_PER_MS);
        RecordingSink late = new RecordingSink();
        send(late, LARGE_BYTES, 50 * NANOS_PER_MS);
        // As much as the link can carry, so that there is always a response that can be in time.
        for (int i = 0; i < 40; i++) {
            send(new RecordingSink(), LARGE_BYTES, clock.now() + 1_000 * NANOS_PER_MS);
            clock.runUntil(clock.now() + 110 * NANOS_PER_MS);
        }
        assertTrue(late.finished, late.writtenBytes + " of " + LARGE_BYTES + " bytes have been sent");
        assertTrue(
                late.writeTimes.getLast() < 1_500 * NANOS_PER_MS,
                "sent after " + late.writeTimes.getLast() / NANOS_PER_MS + " ms");
    }

    /** A connection whose receiver does not read delays only its own response. */
    @Test
    void blockedConnectionDelaysNoOther() {
        RecordingSink blocked = new RecordingSink();
        blocked.writable = false;
        OutgoingLink.Flow blockedFlow = send(blocked, LARGE_BYTES, 100 * NANOS_PER_MS);
        RecordingSink other = new RecordingSink();
        send(other, LARGE_BYTES, 1_000 * NANOS_PER_MS);
        clock.runUntil(150 * NANOS_PER_MS);
        assertTrue(other.finished);
        assertEquals(0, blocked.writtenBytes);
        blocked.writable = true;
        blockedFlow.onWritable();
        clock.runUntil(300 * NANOS_PER_MS);
        assertTrue(blocked.finished);
    }

    /** The queue is bounded: the source of a response that exceeds the limit is paused, and resumed later. */
    @Test
    void sourceIsPausedWhenQueueIsFull() {
        RecordingSink first = new RecordingSink();
        send(first, 2_000_000, 1_000 * NANOS_PER_MS);
        RecordingSink second = new RecordingSink();
        OutgoingLink.Flow flow = link.openFlow(second, 2_000 * NANOS_PER_MS);
        flow.write(Unpooled.wrappedBuffer(new byte[LARGE_BYTES]));
        assertTrue(!second.sourceReading);
        clock.runUntil(4_000 * NANOS_PER_MS);
        assertTrue(second.sourceReading);
        flow.finish(() -> second.finished = true);
        assertTrue(second.finished);
    }

    /** Guards against a source that stays paused because the responses queued before its own were cancelled. */
    @Test
    void sourceResumesWhenQueuedResponseIsCancelled() {
        RecordingSink blocked = new RecordingSink();
        blocked.writable = false;
        OutgoingLink.Flow blockedFlow = send(blocked, 2_000_000, 1_000 * NANOS_PER_MS);
        RecordingSink second = new RecordingSink();
        OutgoingLink.Flow flow = link.openFlow(second, 500 * NANOS_PER_MS);
        flow.write(Unpooled.wrappedBuffer(new byte[LARGE_BYTES]));
        assertTrue(!second.sourceReading);
        blockedFlow.cancel();
        clock.runUntil(300 * NANOS_PER_MS);
        assertTrue(second.sourceReading);
    }

    /** Guards against the most urgent response waiting for its paused source while less urgent ones fill the queue. */
    @Test
    void sourceResumesWhenItsOwnQueueIsEmpty() {
        send(new RecordingSink(), 2_000_000, 2_000 * NANOS_PER_MS);
        RecordingSink urgent = new RecordingSink();
        OutgoingLink.Flow flow = link.openFlow(urgent, 500 * NANOS_PER_MS);
        flow.write(Unpooled.wrappedBuffer(new byte[LARGE_BYTES]));
        assertTrue(!urgent.sourceReading);
        clock.runUntil(200 * NANOS_PER_MS);
        assertTrue(urgent.sourceReading);
    }

    /** Guards against a source that stays paused after its connection was not writable for a moment. */
    @Test
    void sourceResumesAfterItsConnectionWasBlocked() {
        RecordingSink sink = new RecordingSink();
        sink.writable = false;
        OutgoingLink.Flow flow = link.openFlow(sink, 1_000 * NANOS_PER_MS);
        flow.write(Unpooled.wrappedBuffer(new byte[SMALL_BYTES]));
        assertTrue(!sink.sourceReading);
        flow.write(Unpooled.wrappedBuffer(new byte[LARGE_BYTES]));
        sink.writable = true;
        flow.onWritable();
        clock.runUntil(300 * NANOS_PER_MS);
        assertTrue(sink.sourceReading);
    }

    /** On a wide link nothing is queued; a source is paused only while the receiver of its response does not read. */
    @Test
    void wideLinkSendsImmediately() {
        OutgoingLink wide = new OutgoingLink(1_000, clock);
        RecordingSink sink = new RecordingSink();
        OutgoingLink.Flow flow = wide.openFlow(sink, 100 * NANOS_PER_MS);
        flow.write(Unpooled.wrappedBuffer(new byte[1_000_000]));
        assertEquals(1_000_000, sink.writtenBytes);
        assertEquals(0, wide.busyNanos());
        sink.writable = false;
        flow.write(Unpooled.wrappedBuffer(new byte[10]));
        assertTrue(!sink.sourceReading);
        sink.writable = true;
        flow.onWritable();
        assertTrue(sink.sourceReading);
    }

    /** Expected bytes count as busy time until they are withdrawn, queued bytes until they have been sent. */
    @Test
    void busyTimeCountsExpectedAndQueuedBytes() {
        link.adjustExpectedBytes(LARGE_BYTES);
        long expectedNanos = link.busyNanos();
        assertTrue(
                expectedNanos > 100 * NANOS_PER_MS && expectedNanos < 120 * NANOS_PER_MS, "busy for " + expectedNanos);
        link.adjustExpectedBytes(-LARGE_BYTES);
        assertEquals(0, link.busyNanos());
        send(new RecordingSink(), LARGE_BYTES, 100 * NANOS_PER_MS);
        assertTrue(Math.abs(link.busyNanos() - expectedNanos) < 12 * NANOS_PER_MS, "busy for " + link.busyNanos());
        clock.runUntil(200 * NANOS_PER_MS);
        assertEquals(0, link.busyNanos());
    }

    /**
     * For random responses in random parts, some of them cancelled: the others are sent in full, and none stays queued.
     */
    @Property(tries = 200)
    void everyResponseNotCancelledIsSentInFull(@ForAll @IntRange(min = 1, max = 30) int count, @ForAll long seed) {
        Random random = new Random(seed);
        VirtualClock virtualClock = new VirtualClock();
        OutgoingLink randomLink = new OutgoingLink(1 + random.nextInt(39), virtualClock);
        int[] sizes = new int[count];
        List<int[]> writtenBytes = new ArrayList<>();
        boolean[] cancelled = new boolean[count];
        boolean[] finished = new boolean[count];
        for (int i = 0; i < count; i++) {
            int index = i;
            int[] bytes = new int[1];
            writtenBytes.add(bytes);
            OutgoingLink.Flow flow = randomLink.openFlow(
                    new OutgoingLink.Sink() {
                        @Override
                        public void write(ByteBuf part) {
                            bytes[0] += part.readableBytes();
                            part.release();
                        }

                        @Override
                        public boolean isWritable() {
                            return true;
                        }

                        @Override
                        public void setSourceReading(boolean enabled) {}
                    },
                    virtualClock.now() + random.nextInt(1_000) * NANOS_PER_MS);
            int parts = 1 + random.nextInt(4);
            for (int p = 0; p < parts; p++) {
                int size = random.nextInt(100_000);
                sizes[i] += size;
                flow.write(Unpooled.wrappedBuffer(new byte[size]));
                virtualClock.runUntil(virtualClock.now() + random.nextInt(40) * NANOS_PER_MS);
            }
            cancelled[i] = random.nextInt(5) == 0;
            if (cancelled[i]) {
                flow.cancel();
            } else {
                flow.finish(() -> finished[index] = true);
            }
        }
        virtualClock.runUntil(virtualClock.now() + 120_000 * NANOS_PER_MS);
        assertEquals(0, randomLink.busyNanos());
        for (int i = 0; i < count; i++) {
            assertEquals(!cancelled[i], finished[i]);
            assertTrue(cancelled[i] || sizes[i] == writtenBytes.get(i)[0]);
        }
    }
}

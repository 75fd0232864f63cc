package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.LinkLoad;

/**
 * Paces large answers at the width of this VM's outgoing link; confined to the event loop.
 *
 * <p>Written as they come, large answers fill the link's queue, so that small answers, new connections and datagrams
 * wait behind them or are dropped, and runs keep their slots until the last byte has left. Here small answers are
 * written at once; large ones wait in bounded memory and are written at the link's pace, earliest objective first. One
 * that is late gives way for a bounded time, so that no steady load keeps it here until its deadline.
 */
public final class OutgoingLink {
    /** Bytes are written this much ahead, so that the link does not run dry before the next turn. */
    private static final long SEND_AHEAD_NANOS = 20_000_000L;
    /** Small answers delay large ones by no more than this. */
    private static final long MAX_SMALL_WRITE_DELAY_NANOS = 100_000_000L;
    /** Bytes that wait here, as time over the link; beyond that backend servers are not read any further. */
    private static final long MAX_QUEUED_NANOS = 2_000_000_000L;

    /** An answer past its objective gives way to those that are due within this after it, and to no others. */
    private static final long LATE_PENALTY_NANOS = 500_000_000L;

    private static final int PART_BYTES = 8_192;
    /** The rest of the width is for packet headers and datagrams. */
    private static final double PAYLOAD_SHARE = 0.93;
    /** A wider link is not paced. */
    private static final double MIN_UNPACED_MBPS = 40;

    private final LinkLoad unloadedLink;
    private final Clock clock;
    private final Set<Flow> queuedFlows = new LinkedHashSet<>();
    /** Flows that are not read until less is held. */
    private final Set<Flow> throttledFlows = new LinkedHashSet<>();

    private long queuedBytes;
    private long expectedBytes;
    private long linkFreeAt;
    private boolean sendScheduled;

    /** Where the bytes of one answer go; called on the event loop. */
    public interface Sink {
        /** Sends some bytes; releases them. */
        void write(ByteBuf part);

        /** Whether this connection takes more, or waits for its other end. */
        boolean isWritable();

        /** Stops or resumes reading the answer from its source. */
        void setSourceReading(boolean enabled);
    }

    /**
     * A link without load.
     *
     * @param mbps width of the link in Mbit/s, 0 if it is not known
     * @param clock all runs where its tasks do
     */
    public OutgoingLink(double mbps, Clock clock) {
        this.unloadedLink = new LinkLoad(0, 0, mbps < MIN_UNPACED_MBPS ? mbps * PAYLOAD_SHARE : 0);
        this.clock = clock;
    }

    /** How long so many bytes take; 0 on a wide link. */
    public long transferNanos(double bytes) {
        return unloadedLink.nanosOf(bytes);
    }

    /** Whether so many bytes have to wait for their turn. */
    public boolean isLarge(double bytes) {
        return unloadedLink.isLarge(bytes);
    }

    /** Time until all large answers that wait here, or are announced, have left. */
    public long busyNanos() {
        return Math.max(0, linkFreeAt - clock.now()) + transferNanos(queuedBytes + expectedBytes);
    }

    /** Announces so many bytes of large answers; a negative number withdraws some, or tells that they were read. */
    public void adjustExpectedBytes(long bytes) {
        expectedBytes += bytes;
    }

    /** How many answers wait. */
    public int queuedFlowCount() {
        return queuedFlows.size();
    }

    /** Counts a small write. */
    public void recordSmallWrite(int bytes) {
        long now = clock.now();
        long newFreeAt = Math.max(now, linkFreeAt) + transferNanos(bytes);
        linkFreeAt = Math.max(linkFreeAt, Math.min(now + MAX_SMALL_WRITE_DELAY_NANOS, newFreeAt));
    }

    /**
     * Opens an answer.
     *
     * @param sink where it goes
     * @param dueAt its latency objective, {@link System#nanoTime} terms
     */
    public Flow openFlow(Sink sink, long dueAt) {
        return new Flow(sink, dueAt);
    }

    private void sendQueued() {
        long now = clock.now();
        while (linkFreeAt - now < SEND_AHEAD_NANOS) {
            Flow nextFlow = nextFlow(now);
            if (nextFlow == null) {
                return;
            }
            int bytes = nextFlow.sendPart();
            linkFreeAt = Math.max(now, linkFreeAt) + transferNanos(bytes);
            resumeThrottledFlows();
        }
        if (!sendScheduled && !queuedFlows.isEmpty()) {
            sendScheduled = true;
            clock.at(linkFreeAt - SEND_AHEAD_NANOS / 2, () -> {
                sendScheduled = false;
                sendQueued();
            });
        }
    }

    private void resumeThrottledFlows() {
        if (throttledFlows.isEmpty() || transferNanos(queuedBytes) > MAX_QUEUED_NANOS / 2) {
            return;
        }
        List<Flow> flowsToResume = List.copyOf(throttledFlows);
        throttledFlows.clear();
        flowsToResume.forEach(Flow::resume);
    }

    private Flow nextFlow(long now) {
        Flow best = null;
        for (Flow flow : queuedFlows) {
            if (flow.sink.isWritable() && (best == null || flow.precedes(best, now))) {
                best = flow;
            }
        }
        return best;
    }

    /** The bytes of one answer, in order. */
    public final class Flow {
        private final Sink sink;
        private final long dueAt;
        private final ArrayDeque<ByteBuf> queuedParts = new ArrayDeque<>();
        private long sentBytes;
        private boolean paused;
        private Runnable onFinished;

        private Flow(Sink sink, long dueAt) {
            this.sink = sink;
            this.dueAt = dueAt;
        }

        /** Bytes handed on so far. */
        public long sentBytes() {
            return sentBytes;
        }

        /** Bytes that wait here. */
        public long queuedBytes() {
            long bytes = 0;
            for (ByteBuf part : queuedParts) {
                bytes += part.readableBytes();
            }
            return bytes;
        }

        /** Whether its source is read no further. */
        public boolean isPaused() {
            return paused;
        }

        private boolean precedes(Flow other, long now) {
            return effectiveDueAt(now) < other.effectiveDueAt(now);
        }

        private long effectiveDueAt(long now) {
            return now < dueAt ? dueAt : dueAt + LATE_PENALTY_NANOS;
        }

        /** Sends some bytes when it is their turn; releases them. */
        public void write(ByteBuf part) {
            int bytes = part.readableBytes();
            if (queuedParts.isEmpty() && !isLarge(sentBytes + bytes)) {
                sentBytes += bytes;
                recordSmallWrite(bytes);
                sink.write(part);
                if (!sink.isWritable()) {
                    pause();
                }
                return;
            }
            queuedParts.add(part);
            queuedBytes += bytes;
            queuedFlows.add(this);
            if (transferNanos(queuedBytes) > MAX_QUEUED_NANOS) {
                throttledFlows.add(this);
                pause();
            }
            sendQueued();
        }

        /** Runs a task when all has been handed on. */
        public void finish(Runnable task) {
            if (queuedParts.isEmpty()) {
                task.run();
                return;
            }
            onFinished = task;
        }

        /** Its connection takes more again. */
        public void onWritable() {
            if (queuedParts.isEmpty()) {
                resume();
            } else {
                sendQueued();
            }
        }

        /** Reads its source on, unless its connection takes nothing; one that has nothing to send holds no memory. */
        private void resumeIfWritable() {
            if (sink.isWritable()) {
                resume();
            }
        }

        /** Drops what waits. */
        public void cancel() {
            queuedFlows.remove(this);
            throttledFlows.remove(this);
            onFinished = null;
            for (ByteBuf part : queuedParts) {
                queuedBytes -= part.readableBytes();
                part.release();
            }
            queuedParts.clear();
            resumeThrottledFlows();
            sendQueued();
        }

        private int sendPart() {
            ByteBuf first = queuedParts.peek();
            int bytes = Math.min(PART_BYTES, first.readableBytes());
            ByteBuf part = bytes == first.readableBytes() ? queuedParts.poll() : first.readRetainedSlice(bytes);
            queuedBytes -= bytes;
            sentBytes += bytes;
            sink.write(part);
            if (queuedParts.isEmpty()) {
                queuedFlows.remove(this);
                throttledFlows.remove(this);
                finishOrResume();
            }
            return bytes;
        }

        private void finishOrResume() {
            if (onFinished == null) {
                resumeIfWritable();
                return;
            }
            Runnable task = onFinished;
            onFinished = null;
            task.run();
        }

        private void pause() {
            if (!paused) {
                paused = true;
                sink.setSourceReading(false);
            }
        }

        private void resume() {
            if (paused) {
                paused = false;
                sink.setSourceReading(true);
            }
        }
    }
}

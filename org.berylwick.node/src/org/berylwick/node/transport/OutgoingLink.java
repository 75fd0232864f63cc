package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.LinkLoad;

/**
 * Paces large responses to the bandwidth of this VM's outgoing link; confined to the event loop.
 *
 * <p>Without pacing, large responses fill the send queue of the link. Small responses, new connections and datagrams
 * then wait behind them or are dropped, and requests keep their slots until the last byte has been sent. Here small
 * responses are written immediately. Large ones are queued in bounded memory and written at the rate of the link,
 * earliest latency objective first. A response that has missed its objective yields to others for a bounded time only;
 * otherwise a steady load would hold it back until its deadline.
 */
public final class OutgoingLink {
    /** Bytes that the head of an HTTP message between two nodes takes on the link, with the headers of its packets. */
    public static final int MESSAGE_HEAD_BYTES = 600;

    /** Bytes are written this far ahead of the link, so that it does not run idle before the next write. */
    private static final long SEND_AHEAD_NANOS = 20_000_000L;
    /** Small responses delay large ones by no more than this. */
    private static final long MAX_SMALL_WRITE_DELAY_NANOS = 100_000_000L;
    /** Limit of the queued bytes, as transfer time over the link; above it, reading from backend servers is paused. */
    private static final long MAX_QUEUED_NANOS = 2_000_000_000L;

    /** A response past its objective yields only to responses that are due less than this long after that objective. */
    private static final long LATE_PENALTY_NANOS = 500_000_000L;

    private static final int PART_BYTES = 8_192;
    /** Share of the bandwidth that responses may use; the rest is for packet headers and datagrams. */
    private static final double PAYLOAD_SHARE = 0.93;
    /** Links with this bandwidth or more are not paced. */
    private static final double MIN_UNPACED_MBPS = 40;

    private final LinkLoad unloadedLink;
    private final Clock clock;
    private final Set<Flow> queuedFlows = new LinkedHashSet<>();
    /** Flows whose sources stay paused until the queue has shrunk. */
    private final Set<Flow> throttledFlows = new LinkedHashSet<>();

    private long queuedBytes;
    private long expectedBytes;
    private long linkFreeAt;
    private boolean sendScheduled;

    /** The connection to which one response is written; called on the event loop. */
    public interface Sink {
        /** Writes a part of the response and releases it. */
        void write(ByteBuf part);

        /** Returns whether the connection accepts more bytes now; if not, its receiver has to read first. */
        boolean isWritable();

        /** Pauses or resumes reading the response from its source. */
        void setSourceReading(boolean enabled);
    }

    /**
     * Creates an idle link.
     *
     * @param mbps bandwidth of the link in Mbit/s, 0 if unknown
     * @param clock schedules the writes; all methods have to be called where its tasks run
     */
    public OutgoingLink(double mbps, Clock clock) {
        this.unloadedLink = new LinkLoad(0, 0, mbps < MIN_UNPACED_MBPS ? mbps * PAYLOAD_SHARE : 0);
        this.clock = clock;
    }

    /** Returns how long the link needs to send a number of bytes; 0 if the link is not paced. */
    public long transferNanos(double bytes) {
        return unloadedLink.transferNanos(bytes);
    }

    /** Returns whether a response of this size is paced instead of being written immediately. */
    public boolean isLarge(double bytes) {
        return unloadedLink.isLarge(bytes);
    }

    /** Returns the time until all queued and all expected bytes of large responses have been sent. */
    public long busyNanos() {
        return Math.max(0, linkFreeAt - clock.now()) + transferNanos(queuedBytes + expectedBytes);
    }

    /**
     * Changes the number of bytes of large responses that are expected from backend servers.
     *
     * @param bytes number of bytes to add; negative if a response has been withdrawn or its bytes have been read
     */
    public void adjustExpectedBytes(long bytes) {
        expectedBytes += bytes;
    }

    /** Returns the number of responses with queued bytes. */
    public int queuedFlowCount() {
        return queuedFlows.size();
    }

    /** Accounts for bytes that were written without being queued. */
    public void recordSmallWrite(int bytes) {
        long now = clock.now();
        long newFreeAt = Math.max(now, linkFreeAt) + transferNanos(bytes);
        linkFreeAt = Math.max(linkFreeAt, Math.min(now + MAX_SMALL_WRITE_DELAY_NANOS, newFreeAt));
    }

    /**
     * Starts to send a response.
     *
     * @param sink connection to which the response is written
     * @param dueAt time at which its latency objective ends, on the clock of this link
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
            clock.schedule(linkFreeAt - SEND_AHEAD_NANOS / 2, () -> {
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

    /** The bytes of one response, sent in order. */
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

        /** Returns the number of bytes written to the connection so far. */
        public long sentBytes() {
            return sentBytes;
        }

        /** Returns the number of bytes of this response that are queued. */
        public long queuedBytes() {
            long bytes = 0;
            for (ByteBuf part : queuedParts) {
                bytes += part.readableBytes();
            }
            return bytes;
        }

        /** Returns whether reading from the source of this response is paused. */
        public boolean isPaused() {
            return paused;
        }

        private boolean precedes(Flow other, long now) {
            return effectiveDueAt(now) < other.effectiveDueAt(now);
        }

        private long effectiveDueAt(long now) {
            return now < dueAt ? dueAt : dueAt + LATE_PENALTY_NANOS;
        }

        /** Writes a part of the response, now or when its turn comes, and releases it. */
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

        /** Marks the end of the response; the task runs once all bytes have been written to the connection. */
        public void finish(Runnable task) {
            if (queuedParts.isEmpty()) {
                task.run();
                return;
            }
            onFinished = task;
        }

        /** Called when the connection accepts bytes again. */
        public void onWritable() {
            if (queuedParts.isEmpty()) {
                resume();
            } else {
                sendQueued();
            }
        }

        /**
         * Resumes reading from the source unless the connection accepts no bytes. This does not wait for the queue of
         * the link to shrink, since a flow without queued bytes occupies no memory.
         */
        private void resumeIfWritable() {
            if (sink.isWritable()) {
                resume();
            }
        }

        /** Discards the queued bytes. */
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

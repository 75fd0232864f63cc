package org.berylwick.bench.emulate;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Optional;
import org.berylwick.node.transport.RequestBody;

/**
 * The way from one place to another: over the link of the one, some time, and over the link of the other.
 *
 * @param emulation that it is part of
 * @param out link of the sender, none for a caller
 * @param in link of the receiver, none for a caller
 * @param nanos between the two
 */
record EmulatedWay(Emulation emulation, Optional<EmulatedLink> out, Optional<EmulatedLink> in, long nanos) {
    private static final ByteBuf ZEROS = Unpooled.wrappedBuffer(new byte[EmulatedLink.PART_BYTES]);

    /** Sends some bytes, which arrive together. */
    void send(int bytes, Runnable arrived) {
        VirtualClock clock = emulation.clock();
        long sentAt = pass(out, bytes);
        clock.schedule(sentAt + nanos, () -> {
            long arrivedAt = pass(in, bytes);
            if (arrivedAt == clock.now()) {
                arrived.run();
            } else {
                clock.schedule(arrivedAt, arrived);
            }
        });
    }

    private long pass(Optional<EmulatedLink> link, int bytes) {
        long now = emulation.clock().now();
        return link.isEmpty() ? now : link.get().pass(bytes, now);
    }

    /** Opens a connection this way. */
    Stream open() {
        return new Stream();
    }

    /** Sends a body as it comes, to one that comes at the other end. */
    BodyFlow flow(RequestBody from, RequestBody to) {
        BodyFlow flow = new BodyFlow(from, to);
        from.subscribe(flow);
        return flow;
    }

    /** Sends a body that is there. */
    BodyFlow flow(RequestBody to) {
        BodyFlow flow = new BodyFlow(to, to);
        flow.offer(to.length());
        return flow;
    }

    /** What one connection carries, in order; so much of it at once as a window of TCP takes. */
    final class Stream {
        private final int window = in.map(EmulatedLink::windowBytes).orElse(EmulatedLink.MOST_WINDOW_BYTES);
        private final ArrayDeque<Piece> waiting = new ArrayDeque<>();
        private int waitingBytes;
        private int onTheWay;
        private Runnable onTaken = () -> {};

        /** Sends some bytes, in parts that others' go between; runs a task when the last of them is there. */
        void send(int bytes, Runnable arrived) {
            int left = bytes;
            while (left > EmulatedLink.PART_BYTES) {
                left -= EmulatedLink.PART_BYTES;
                waiting.add(new Piece(EmulatedLink.PART_BYTES, () -> {}));
            }
            waiting.add(new Piece(left, arrived));
            waitingBytes += bytes;
            pump();
        }

        /** Runs a task whenever bytes were taken from what waits. */
        void onTaken(Runnable task) {
            onTaken = task;
        }

        /** Bytes that the window has not let out yet. */
        int waitingBytes() {
            return waitingBytes;
        }

        /** Sends nothing more of what waits. */
        void stop() {
            waiting.clear();
            waitingBytes = 0;
        }

        private void pump() {
            while (!waiting.isEmpty() && onTheWay < window) {
                Piece piece = waiting.poll();
                waitingBytes -= piece.bytes();
                onTheWay += piece.bytes();
                EmulatedWay.this.send(piece.bytes(), () -> {
                    onTheWay -= piece.bytes();
                    piece.arrived().run();
                    pump();
                });
                onTaken.run();
            }
        }
    }

    private record Piece(int bytes, Runnable arrived) {}

    /** A body on its way. */
    final class BodyFlow implements RequestBody.Subscriber {
        private final RequestBody from;
        private final RequestBody to;
        private final Stream stream = open();
        private int arrived;
        private boolean over;

        private BodyFlow(RequestBody from, RequestBody to) {
            this.from = from;
            this.to = to;
        }

        @Override
        public void onRequestBodyPart(ByteBuf part) {
            int bytes = part.readableBytes();
            part.release();
            offer(bytes);
        }

        @Override
        public void onRequestBodyComplete() {
            // The last part says so too.
        }

        private void offer(int bytes) {
            for (int left = bytes; left > 0; left -= EmulatedLink.PART_BYTES) {
                int part = Math.min(left, EmulatedLink.PART_BYTES);
                stream.send(part, () -> onArrived(part));
            }
        }

        private void onArrived(int bytes) {
            arrived += bytes;
            if (over) {
                return;
            }
            to.addPart(ZEROS.retainedSlice(0, bytes));
            if (arrived == to.length()) {
                to.markComplete();
            }
        }

        /** Sends nothing more. */
        void stop() {
            over = true;
            stream.stop();
            from.unsubscribe(this);
        }
    }
}

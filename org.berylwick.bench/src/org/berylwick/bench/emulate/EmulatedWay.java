package org.berylwick.bench.emulate;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
        clock.at(sentAt + nanos, () -> {
            long arrivedAt = pass(in, bytes);
            if (arrivedAt == clock.now()) {
                arrived.run();
            } else {
                clock.at(arrivedAt, arrived);
            }
        });
    }

    private long pass(Optional<EmulatedLink> link, int bytes) {
        long now = emulation.clock().now();
        return link.isEmpty() ? now : link.get().pass(bytes, now);
    }

    /** Sends a body as it comes, to one that comes at the other end. */
    BodyFlow flow(RequestBody from, RequestBody to) {
        BodyFlow flow = new BodyFlow(from, to);
        from.follow(flow);
        return flow;
    }

    /** Sends a body that is there. */
    BodyFlow flow(RequestBody to) {
        BodyFlow flow = new BodyFlow(to, to);
        flow.offer(to.length());
        return flow;
    }

    /** A body on its way; so much of it at once as a window of TCP takes. */
    final class BodyFlow implements RequestBody.Follower {
        private final RequestBody from;
        private final RequestBody to;
        private final int window = in.map(EmulatedLink::windowBytes).orElse(Integer.MAX_VALUE);
        private int waiting;
        private int sent;
        private int arrived;
        private boolean over;

        private BodyFlow(RequestBody from, RequestBody to) {
            this.from = from;
            this.to = to;
        }

        @Override
        public void onPart(ByteBuf part) {
            int bytes = part.readableBytes();
            part.release();
            offer(bytes);
        }

        @Override
        public void onWhole() {
            // The last part says so too.
        }

        private void offer(int bytes) {
            waiting += bytes;
            pump();
        }

        private void pump() {
            while (!over && waiting > 0 && sent - arrived < window) {
                int bytes = Math.min(waiting, EmulatedLink.PART_BYTES);
                waiting -= bytes;
                sent += bytes;
                send(bytes, () -> onArrived(bytes));
            }
        }

        private void onArrived(int bytes) {
            arrived += bytes;
            if (over) {
                return;
            }
            to.add(ZEROS.retainedSlice(0, bytes));
            if (arrived == to.length()) {
                to.end();
            }
            pump();
        }

        /** Sends nothing more. */
        void stop() {
            over = true;
            from.unfollow(this);
        }
    }
}

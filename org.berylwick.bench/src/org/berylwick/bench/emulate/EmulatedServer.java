package org.berylwick.bench.emulate;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;
import org.berylwick.node.transport.ServerConnection;
import org.berylwick.node.transport.ServerConnectionPool;

/** A backend server: runs what its owner sends, at its own speed, and makes the calls of its runs. */
final class EmulatedServer implements ServerConnectionPool {
    private static final long SHED_NANOS = 1_000_000L;
    private static final long CRASH_AFTER_NANOS = 50_000_000L;
    /** From the statement of a limit until it must be kept. */
    private static final long CONTACT_NANOS = 3_000_000_000L;

    private static final long LIMIT_WINDOW_NANOS = 4_000_000_000L;
    private static final long RESTART_NANOS = 3_000_000_000L;
    private static final ByteBuf ZEROS = Unpooled.wrappedBuffer(new byte[EmulatedLink.PART_BYTES]);

    private final Emulation emulation;
    private final EmulatedNode node;
    private final Deployment.Server kind;
    private final Random random;
    private double slowness;
    private Optional<EmulatedSpeed> speed = Optional.empty();
    private boolean statesSpeed;
    private double shedShare;
    private double lostShare;
    private double disturbedShare;
    private double disturbedFactor = 1;
    private double limitPerSecond = Double.POSITIVE_INFINITY;
    private long limitedSince;
    /** When requests arrived while a limit held, from the contact time on. */
    private final ArrayDeque<Long> limitedArrivals = new ArrayDeque<>();

    private int running;
    private boolean down;
    private final Set<Connection> busyConnections = new LinkedHashSet<>();

    EmulatedServer(Emulation emulation, EmulatedNode node, Deployment.Server kind, long seed) {
        this.emulation = emulation;
        this.node = node;
        this.kind = kind;
        this.random = new Random(seed);
        this.slowness = kind.slowness();
    }

    /** Takes so many times as long as usual from now on. */
    void slowDown(double factor) {
        slowness = kind.slowness() * factor;
    }

    /**
     * Is slowed down for fractions of a second from now on.
     *
     * @param stated whether it states its speed in each answer
     */
    void waver(boolean stated) {
        speed = Optional.of(new EmulatedSpeed(emulation.clock().now(), new Random(random.nextLong())));
        statesSpeed = stated;
    }

    private long nanosOf(long work) {
        long usual = (long) (work * slowness);
        return speed.map(s -> s.nanosOf(usual, emulation.clock().now())).orElse(usual);
    }

    /** Turns away a part of what it gets from now on, and says so. */
    void shed(double share) {
        shedShare = share;
    }

    /** Loses a part of its answers from now on. */
    void lose(double share) {
        lostShare = share;
    }

    /** A part of what it runs from now on takes so many times as long, whatever is asked. */
    void disturb(double share, double factor) {
        disturbedShare = share;
        disturbedFactor = factor;
    }

    /** States in each answer how many requests a second it takes; infinity states nothing. */
    void limit(double perSecond) {
        limitPerSecond = perSecond;
        limitedSince = emulation.clock().now();
        limitedArrivals.clear();
    }

    private void countLimited() {
        long now = emulation.clock().now();
        if (Double.isInfinite(limitPerSecond) || now - limitedSince < CONTACT_NANOS) {
            return;
        }
        limitedArrivals.add(now);
        while (now - limitedArrivals.peek() > LIMIT_WINDOW_NANOS) {
            limitedArrivals.poll();
        }
        double stated = limitPerSecond * LIMIT_WINDOW_NANOS / 1e9;
        emulation.outcomes().onLimitedArrival(limitedArrivals.size() > 1.5 * stated + 5);
    }

    int running() {
        return running;
    }

    boolean isDown() {
        return down;
    }

    /** The process ends, and starts again after a while. */
    private void crash() {
        if (down) {
            return;
        }
        down = true;
        emulation.outcomes().onCrash();
        for (Connection connection : List.copyOf(busyConnections)) {
            connection.breakOff();
        }
        emulation.clock().after(RESTART_NANOS, () -> {
            down = false;
            node.rejoin();
        });
    }

    @Override
    public void acquire(long freshestNanos, Consumer<ServerConnection> onOpen, Consumer<String> onFailure) {
        if (down) {
            emulation.clock().defer(() -> onFailure.accept("cannot connect"));
            return;
        }
        onOpen.accept(new Connection());
    }

    @Override
    public void probe(Consumer<ProbeResult> onResult) {
        emulation.clock().defer(() -> onResult.accept(down ? ProbeResult.REFUSED : ProbeResult.LISTENING));
    }

    @Override
    public long openedCount() {
        return 0;
    }

    @Override
    public void evictIdle() {}

    @Override
    public void close() {}

    /** Carries one request, which is enough here: what a connection costs is not emulated. */
    private final class Connection implements ServerConnection {
        private Optional<HttpResponseHandler> waiter = Optional.empty();
        private Optional<Clock.Timer> end = Optional.empty();
        private Optional<Runnable> abandonCall = Optional.empty();
        private boolean busy;
        private boolean reading = true;
        private int unwritten;

        @Override
        public void send(HttpRequest request, RequestBody body, HttpResponseHandler exchange) {
            waiter = Optional.of(exchange);
            countLimited();
            String id = request.headers().get(Emulation.NAMES.requestId());
            if (random.nextDouble() < shedShare) {
                end = Optional.of(emulation.clock().after(SHED_NANOS, () -> answer(id, 503, 0, true)));
                return;
            }
            busy = true;
            running++;
            busyConnections.add(this);
            EmulatedRequest asked = emulation.request(id);
            asked.onRun(emulation);
            if (asked.crashes()) {
                end = Optional.of(emulation.clock().after(CRASH_AFTER_NANOS, EmulatedServer.this::crash));
                return;
            }
            double disturbance = disturbedShare > 0 && random.nextDouble() < disturbedShare ? disturbedFactor : 1;
            long took = (long) (nanosOf(asked.workNanos()) * disturbance);
            long left = Long.parseLong(request.headers().get(Emulation.NAMES.deadline())) * 1_000_000L;
            if (took > left) {
                end = Optional.of(emulation.clock().after(left, () -> answer(id, 504, 0, false)));
                return;
            }
            end = Optional.of(emulation.clock().after(took, () -> onWorked(id, asked, left - took)));
        }

        private void onWorked(String id, EmulatedRequest asked, long left) {
            Optional<RequestKind.InnerCall> call = asked.kind().calls();
            if (call.isEmpty() || !asked.makesCall()) {
                answer(id, 200, asked.kind().bytes().answer(), false);
                return;
            }
            InnerCalls calls = new InnerCalls(
                    good -> answer(id, good ? 200 : 500, asked.kind().bytes().answer(), false));
            abandonCall = Optional.of(calls::abandon);
            calls.make(call.get(), left);
        }

        /** The calls of one run: it is over when all are, or when one fails. */
        private final class InnerCalls {
            private final Consumer<Boolean> onOver;
            private final List<Runnable> abandons = new ArrayList<>();
            private int open;
            private int unmade;
            private Runnable makeNext = () -> {};
            private boolean over;

            InnerCalls(Consumer<Boolean> onOver) {
                this.onOver = onOver;
            }

            void make(RequestKind.InnerCall call, long left) {
                open = call.times();
                unmade = call.times();
                long endsAt = emulation.clock().now() + left;
                makeNext = () -> {
                    unmade--;
                    abandons.add(node.callInner(
                            call.kind(), Math.max(1, endsAt - emulation.clock().now()), this::onAnswer));
                };
                do {
                    makeNext.run();
                } while (call.together() && unmade > 0 && !over);
            }

            private void onAnswer(boolean good) {
                open--;
                if (over) {
                    return;
                }
                if (good && open > 0) {
                    if (unmade > 0) {
                        makeNext.run();
                    }
                    return;
                }
                over = true;
                abandons.forEach(Runnable::run);
                onOver.accept(good);
            }

            void abandon() {
                over = true;
                abandons.forEach(Runnable::run);
            }
        }

        private void answer(String id, int status, int bytes, boolean notRun) {
            if (waiter.isEmpty()) {
                free();
                return;
            }
            HttpResponseHandler exchange = waiter.get();
            if (!notRun && random.nextDouble() < lostShare) {
                free();
                waiter = Optional.empty();
                exchange.onFailure("closed before an answer");
                return;
            }
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            head.headers().set(Emulation.NAMES.requestId(), id);
            head.headers().set(Emulation.NAMES.signature(), "s");
            if (!Double.isInfinite(limitPerSecond)) {
                head.headers().set(Emulation.NAMES.requestLimit(), Double.toString(limitPerSecond));
            }
            if (statesSpeed) {
                double figure =
                        100 * speed.orElseThrow().factorAt(emulation.clock().now());
                head.headers().set(Emulation.NAMES.load(), running + ",0," + kind.slots() + "," + Math.round(figure));
            }
            if (notRun) {
                head.headers().set(Emulation.NAMES.notExecuted(), "1");
            }
            exchange.onHead(head);
            // One byte stands for an answer that does not wait for the link; its size is told by its request's kind.
            unwritten = node.link().outgoing().isLarge(bytes) ? bytes : 1;
            write();
        }

        /** Writes on while its owner reads; the slot is taken until all is written. */
        private void write() {
            while (waiter.isPresent() && reading && unwritten > 0) {
                int part = Math.min(unwritten, EmulatedLink.PART_BYTES);
                unwritten -= part;
                waiter.get().onBody(ZEROS.retainedSlice(0, part));
            }
            if (waiter.isPresent() && unwritten == 0) {
                free();
                HttpResponseHandler exchange = waiter.get();
                waiter = Optional.empty();
                exchange.onEnd();
            }
        }

        private void breakOff() {
            Optional<HttpResponseHandler> exchange = waiter;
            abort();
            exchange.ifPresent(e -> e.onFailure("closed before an answer"));
        }

        private void free() {
            busyConnections.remove(this);
            if (busy) {
                busy = false;
                running--;
            }
        }

        @Override
        public boolean isRequestFullySent() {
            return true;
        }

        @Override
        public void returnUnused() {}

        @Override
        public void setAutoRead(boolean on) {
            boolean resumes = on && !reading;
            reading = on;
            if (resumes && unwritten > 0) {
                emulation.clock().defer(this::write);
            }
        }

        @Override
        public void abort() {
            waiter = Optional.empty();
            end.ifPresent(Clock.Timer::cancel);
            abandonCall.ifPresent(Runnable::run);
            free();
        }

        @Override
        public int servedRequests() {
            return 0;
        }

        @Override
        public long idleSince() {
            return 0;
        }
    }
}

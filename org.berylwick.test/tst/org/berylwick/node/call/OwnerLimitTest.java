package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;
import org.junit.jupiter.api.Test;

/** Tests how an owner treats what a backend server states about itself in its responses: a limit, or that it leaves. */
class OwnerLimitTest {
    private static final long MILLIS = OwnerRig.MILLIS;
    private static final long WINDOW_MILLIS = 4_000;
    private static final int SLOTS = 12;
    private static final HeaderNames NAMES = OwnerRig.HEADER_NAMES;

    /** Headers that the backend server adds to each response. */
    private final List<String[]> stated = new ArrayList<>();

    private final List<Long> arrivals = new ArrayList<>();
    private int refused;
    private long responseMillis = 20;
    private int lastId;
    private int lastIncarnation;
    private final OwnerRig rig = new OwnerRig(() -> new StatingServer());
    private final VirtualClock clock = rig.clock;
    private final Owner owner = rig.owner;

    /** A backend server that responds after a while, with the headers that a test has set. */
    private final class StatingServer extends InMemoryBackendServer {
        StatingServer() {
            super(rig.clock);
        }

        @Override
        public void send(HttpRequest request, RequestBody body, HttpResponseHandler handler) {
            arrivals.add(clock.now() / MILLIS);
            String id = request.headers().get(NAMES.requestId());
            clock.after(responseMillis * MILLIS, () -> {
                HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().set(NAMES.requestId(), id).set(NAMES.signature(), "s");
                stated.forEach(header -> head.headers().add(header[0], header[1]));
                handler.onHead(head);
                handler.onEnd();
            });
        }
    }

    private final class CountingListener implements AttemptListener {
        @Override
        public void onHead(int status, HttpHeaders headers, OwnerLoad load) {
            // Only arrivals and refusals count.
        }

        @Override
        public void onBody(ByteBuf part) {
            part.release();
        }

        @Override
        public void onEnd() {
            // Only arrivals and refusals count.
        }

        @Override
        public void onRefused(Refusal refusal) {
            refused++;
        }

        @Override
        public void onLost(Loss loss) {
            // Counted by nobody.
        }
    }

    private void state(String limit) {
        stated.clear();
        stated.add(new String[] {NAMES.requestLimit(), limit});
    }

    private void startIncarnation(String incarnation) {
        owner.onReport(OwnerRig.report(incarnation, 1, BackendState.READY, SLOTS));
    }

    private void offer(long maxWaitMillis) {
        String id = "r" + ++lastId;
        owner.offer(rig.call(id, maxWaitMillis * MILLIS), new CountingListener());
    }

    /** Offers requests at a steady rate for some time. */
    private void offerFor(long millis, int perSecond) {
        long end = clock.now() / MILLIS + millis;
        long gapMillis = 1_000 / perSecond;
        for (long at = clock.now() / MILLIS; at < end; at += gapMillis) {
            clock.runUntil(at * MILLIS);
            offer(300);
        }
        clock.runUntil(end * MILLIS);
    }

    private long arrivalsBetween(long fromMillis, long toMillis) {
        return arrivals.stream().filter(at -> at >= fromMillis && at < toMillis).count();
    }

    private void assertLimitKept(double limit, long fromMillis) {
        double allowed = 1.5 * limit * WINDOW_MILLIS / 1_000 + 5;
        for (long begin : arrivals) {
            if (begin >= fromMillis) {
                long count = arrivalsBetween(begin, begin + WINDOW_MILLIS);
                assertTrue(count <= allowed, count + " requests in 4 s from " + begin + " ms, allowed " + allowed);
            }
        }
    }

    /** Guards against sending more than the limit allows, and against leaving a part of it unused. */
    @Property(tries = 40)
    void limitIsKeptAndUsed(@ForAll @DoubleRange(min = 0.3, max = 60) double limit, @ForAll long seed) {
        arrivals.clear();
        Random random = new Random(seed);
        responseMillis = 1 + random.nextInt(150);
        startIncarnation("try-" + ++lastIncarnation);
        state(Double.toString(limit));
        long from = clock.now() / MILLIS;
        offerFor(13_000, 100);
        assertLimitKept(limit, from + 1_000);
        long used = arrivalsBetween(from + 1_000, from + 13_000);
        assertTrue(used >= 0.9 * limit * 12 - 1, used + " of " + limit * 12);
    }

    /** Guards against a limit that outlasts its statement. */
    @Test
    void responseWithoutLimitLiftsIt() {
        startIncarnation("i-1");
        state("5");
        offerFor(2_000, 50);
        stated.clear();
        offerFor(1_000, 50);
        long before = arrivals.size();
        offerFor(1_000, 50);
        assertEquals(50, arrivals.size() - before);
    }

    /** Guards against a limit of 0 that no response would ever lift. */
    @Test
    void limitOfZeroIsTriedNowAndThenAndCanBeLifted() {
        startIncarnation("i-1");
        state("0");
        offerFor(2_000, 50);
        long before = arrivals.size();
        offerFor(20_000, 50);
        long trials = arrivals.size() - before;
        assertTrue(trials >= 2 && trials <= 5, trials + " trials in 20 s");
        stated.clear();
        offerFor(10_000, 50);
        before = arrivals.size();
        offerFor(1_000, 50);
        assertEquals(50, arrivals.size() - before);
    }

    /** Guards against a limit that changes each second being kept by its old value, or the rate adding up. */
    @Test
    void limitThatChangesEachSecondIsFollowed() {
        startIncarnation("i-1");
        for (int i = 0; i < 8; i++) {
            state(i % 2 == 0 ? "4" : "20");
            offerFor(1_000, 100);
        }
        long perTwoSeconds = arrivalsBetween(2_000, 8_000) / 3;
        assertTrue(perTwoSeconds >= 18 && perTwoSeconds <= 36, perTwoSeconds + " in 2 s, limits 4 and 20 a second");
    }

    /** Guards against a damaged statement lifting the limit, failing the response or stopping the backend server. */
    @Test
    void invalidStatementsLeaveTheLimitAsItIs() {
        startIncarnation("i-1");
        state("5");
        offerFor(2_000, 50);
        for (String invalid : List.of("", "-1", "NaN", "1e309", "0x10", "five", "5,6", "Infinity", "7d")) {
            state(invalid);
            offerFor(400, 50);
        }
        state("8");
        stated.add(new String[] {NAMES.requestLimit(), "900"});
        offerFor(400, 50);
        assertLimitKept(5, 1_000);
        stated.clear();
        offerFor(2_000, 50);
        long before = arrivals.size();
        offerFor(1_000, 50);
        assertEquals(50, arrivals.size() - before);
    }

    /** Guards against the limit of an incarnation that has ended being applied to the next one. */
    @Test
    void newIncarnationStartsWithoutLimit() {
        startIncarnation("i-1");
        responseMillis = 500;
        state("2");
        offerFor(1_000, 20);
        startIncarnation("i-2");
        responseMillis = 20;
        stated.clear();
        long before = arrivals.size();
        // Responses of the first incarnation arrive meanwhile, and state its limit.
        offerFor(1_000, 50);
        assertEquals(50, arrivals.size() - before);
    }

    /** Guards against sending requests to a backend server that has said in a response that it leaves. */
    @Test
    void backendServerThatStatesThatItLeavesGetsNoMoreRequests() {
        startIncarnation("i-1");
        offerFor(1_000, 50);
        stated.add(new String[] {NAMES.leaving(), "1"});
        offerFor(100, 50);
        stated.clear();
        int before = arrivals.size();
        int refusedBefore = refused;
        offerFor(1_000, 50);
        // A report that was sent earlier, or a response without the statement, does not take it back.
        startIncarnation("i-1");
        offerFor(1_000, 50);
        assertEquals(before, arrivals.size());
        assertEquals(100, refused - refusedBefore);
        startIncarnation("i-2");
        offerFor(1_000, 50);
        assertEquals(50, arrivals.size() - before);
    }

    /** Guards against any other value of the header stopping a backend server. */
    @Test
    void otherValueOfTheLeavingHeaderIsDisregarded() {
        startIncarnation("i-1");
        stated.add(new String[] {NAMES.leaving(), "0"});
        offerFor(1_000, 50);
        assertEquals(50, arrivals.size());
    }

    /** Guards against holding requests that the limit does not let through in time, instead of returning them. */
    @Test
    void requestThatCannotStartInTimeIsRefusedAtOnce() {
        startIncarnation("i-1");
        state("1");
        offerFor(2_000, 10);
        int before = refused;
        for (int i = 0; i < 20; i++) {
            offer(300);
        }
        clock.runUntil(clock.now() + MILLIS);
        assertTrue(refused - before >= 18, refused - before + " of 20 refused");
    }
}

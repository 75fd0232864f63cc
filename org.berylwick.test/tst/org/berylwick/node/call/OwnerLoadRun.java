package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Random;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.RequestBody;

/** Test fixture: organisations that send requests at random times to one owner, and what became of the requests. */
final class OwnerLoadRun {
    static final int SLOTS = 12;
    private static final long MILLIS = OwnerRig.MILLIS;
    private static final long MEAN_SERVICE_MILLIS = 100;
    private static final long MAX_WAIT_MILLIS = 240;
    private static final long WARM_UP_MILLIS = 8_000;
    private static final long MEASURED_MILLIS = 60_000;

    /** Requests offered and answered within their objective, by organisation. */
    final int[] offered;

    final int[] served;

    /** Requests that were refused after they had waited. */
    int lateRefusals;

    final OwnerRig rig;
    private final Random random;
    private final Random serviceTimes;
    private final double[] demandShares;
    private final int[] priorities;
    private final boolean tagged;
    private int returningOrganisation = -1;

    /**
     * @param demandShares demand of each organisation as a multiple of the capacity of the owner
     * @param priorities priority of each organisation
     * @param tagged whether the owner gets to know the organisations
     * @param seed seed of all random numbers
     */
    OwnerLoadRun(double[] demandShares, int[] priorities, boolean tagged, long seed) {
        this.demandShares = demandShares;
        this.priorities = priorities;
        this.tagged = tagged;
        this.random = new Random(seed);
        this.serviceTimes = new Random(seed + 1);
        this.offered = new int[demandShares.length];
        this.served = new int[demandShares.length];
        this.rig = new OwnerRig(RespondingServer::new);
    }

    private final class RespondingServer extends InMemoryBackendServer {
        RespondingServer() {
            super(rig.clock);
        }

        @Override
        public void send(HttpRequest request, RequestBody body, HttpResponseHandler handler) {
            double factor = 0.5 + serviceTimes.nextDouble();
            rig.clock.after((long) (MEAN_SERVICE_MILLIS * factor * MILLIS), () -> {
                HttpHeaders names = request.headers();
                DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers()
                        .set(OwnerRig.HEADER_NAMES.requestId(), names.get(OwnerRig.HEADER_NAMES.requestId()))
                        .set(OwnerRig.HEADER_NAMES.signature(), "s");
                handler.onHead(head);
                handler.onEnd();
            });
        }
    }

    /** Lets the callers of one organisation send a refused request again at once, until their time is over. */
    OwnerLoadRun withReturning(int organisation) {
        returningOrganisation = organisation;
        return this;
    }

    OwnerLoadRun run() {
        rig.owner.onReport(OwnerRig.report("i-1", 1, BackendState.READY, SLOTS));
        for (int i = 0; i < demandShares.length; i++) {
            scheduleNext(i);
        }
        rig.clock.runUntil((WARM_UP_MILLIS + MEASURED_MILLIS) * MILLIS);
        return this;
    }

    private void scheduleNext(int organisation) {
        double perMilli = demandShares[organisation] * SLOTS / MEAN_SERVICE_MILLIS;
        if (perMilli == 0) {
            return;
        }
        double waitMillis = -Math.log(1 - random.nextDouble()) / perMilli;
        rig.clock.after((long) (waitMillis * MILLIS), () -> {
            offer(organisation);
            scheduleNext(organisation);
        });
    }

    private void offer(int organisation) {
        OrganisationTag tag =
                tagged ? new OrganisationTag("org-" + organisation, priorities[organisation]) : OrganisationTag.NONE;
        CallSpec call = rig.call("r", MAX_WAIT_MILLIS * MILLIS, priorities[organisation], tag);
        boolean counted = rig.clock.now() >= WARM_UP_MILLIS * MILLIS;
        offered[organisation] += counted ? 1 : 0;
        rig.owner.offer(call, new Outcome(organisation, call, counted));
    }

    private final class Outcome implements AttemptListener {
        private final int organisation;
        private final CallSpec call;
        private final boolean counted;
        private final long offeredAt = rig.clock.now();

        Outcome(int organisation, CallSpec call, boolean counted) {
            this.organisation = organisation;
            this.call = call;
            this.counted = counted;
        }

        @Override
        public void onHead(int status, HttpHeaders headers, OwnerLoad load) {
            served[organisation] += counted && rig.clock.now() <= call.objectiveAt() ? 1 : 0;
        }

        @Override
        public void onBody(ByteBuf part) {
            part.release();
        }

        @Override
        public void onEnd() {
            // The head was counted.
        }

        @Override
        public void onRefused(Refusal refusal) {
            lateRefusals += rig.clock.now() > offeredAt ? 1 : 0;
            if (organisation == returningOrganisation && rig.clock.now() + 100 * MILLIS < call.objectiveAt()) {
                rig.clock.after(50 * MILLIS, () -> rig.owner.offer(call, new Outcome(organisation, call, counted)));
            }
        }

        @Override
        public void onLost(Loss loss) {
            throw new AssertionError(loss.cause());
        }
    }

    /** Fraction of the requests of some organisations that was served within the objective. */
    double servedFraction(int from, int to) {
        double sumOffered = 0;
        double sumServed = 0;
        for (int i = from; i < to; i++) {
            sumOffered += offered[i];
            sumServed += served[i];
        }
        return sumServed / sumOffered;
    }

    int totalServed() {
        int total = 0;
        for (int count : served) {
            total += count;
        }
        return total;
    }
}

package org.berylwick.node.version;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.member.Member;
import org.berylwick.node.member.MemberTable;
import org.berylwick.node.transport.BufferedHttpCall;

/** Gets a version that another node has, from the nearest one that has it; confined to the event loop. */
final class VersionFetcher {
    /**
     * A node of this zone will have a version a little after one elsewhere; fetching from it costs no zone crossing.
     */
    private static final long FAR_DELAY_NANOS = 40_000_000L;

    private static final long RETRY_MILLIS = 150;
    private static final long TIMEOUT_MILLIS = 1_200;

    private final EventLoop loop;
    private final MemberTable table;
    private final String zone;
    private final VersionShelf shelf;
    private final LongSupplier number;
    private final BiConsumer<Member, byte[]> onFetched;
    private final Instruments instruments;
    private boolean fetching;
    private boolean planned;
    private boolean wholeWanted;
    private String lastDeliverer = "";

    /**
     * @param loop all runs on it
     * @param table other nodes
     * @param zone of this node
     * @param shelf versions that were in force here
     * @param number of the version in force, 0 for none
     * @param onFetched takes the bytes of a whole version and who sent it
     * @param instruments take counts and events
     */
    VersionFetcher(
            EventLoop loop,
            MemberTable table,
            String zone,
            VersionShelf shelf,
            LongSupplier number,
            BiConsumer<Member, byte[]> onFetched,
            Instruments instruments) {
        this.loop = loop;
        this.table = table;
        this.zone = zone;
        this.shelf = shelf;
        this.number = number;
        this.onFetched = onFetched;
        this.instruments = instruments;
    }

    /**
     * Another node told which version it has; if that is newer, it is fetched.
     *
     * @param notBefore when the next version may be installed, in {@link System#nanoTime} terms
     */
    void onHeard(Member member, long notBefore) {
        if (planned || fetching || member.state().version() <= number.getAsLong()) {
            return;
        }
        planned = true;
        long delay = member.state().zone().equals(zone) ? 0 : FAR_DELAY_NANOS;
        loop.schedule(this::fetch, Math.max(delay, notBefore - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void fetch() {
        planned = false;
        if (fetching) {
            return;
        }
        Optional<Member> from = nearestAhead();
        if (from.isEmpty()) {
            return;
        }
        fetching = true;
        Member member = from.get();
        long base = wholeWanted ? 0 : number.getAsLong();
        BufferedHttpCall.start(
                loop,
                member.pool(),
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, VersionKeeper.VERSION_PATH + base),
                new byte[0],
                TIMEOUT_MILLIS,
                result -> onResult(member, result));
    }

    private Optional<Member> nearestAhead() {
        long now = System.nanoTime();
        List<Member> near = new ArrayList<>();
        List<Member> far = new ArrayList<>();
        for (Member member : table.all()) {
            if (member.state().version() <= number.getAsLong() || member.isSuspect(now)) {
                continue;
            }
            (member.state().zone().equals(zone) ? near : far).add(member);
        }
        List<Member> from = near.isEmpty() ? far : near;
        if (from.isEmpty()) {
            return Optional.empty();
        }
        // The one that delivered last has the version that is here, and needs to send only what changed since.
        for (Member member : from) {
            if (member.ip().equals(lastDeliverer)) {
                return Optional.of(member);
            }
        }
        return Optional.of(from.get(ThreadLocalRandom.current().nextInt(from.size())));
    }

    private void onResult(Member from, BufferedHttpCall.Result result) {
        fetching = false;
        if (!(result instanceof BufferedHttpCall.Result.Completed answered) || answered.status() != 200) {
            // Its link may be full of this very version: that says nothing of the requests it runs.
            instruments.counters().increment(NodeMetricNames.VERSIONS_FETCH_FAILURES);
            fetchAgain();
            return;
        }
        instruments.counters().add(NodeMetricNames.VERSIONS_FETCHED_BYTES, answered.body().length);
        Optional<byte[]> whole = VersionShelf.Delivery.read(answered.body()).flatMap(shelf::join);
        if (whole.isEmpty()) {
            // The next one is asked for whole, or two nodes that differ in an old version would never agree again.
            wholeWanted = true;
            instruments.log().write(Event.VERSION_REFUSED, "from", from.ip(), "why", "does not fit the version here");
            fetchAgain();
            return;
        }
        wholeWanted = false;
        lastDeliverer = from.ip();
        onFetched.accept(from, whole.get());
    }

    private void fetchAgain() {
        lastDeliverer = "";
        planned = true;
        loop.schedule(this::fetch, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}

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
import org.berylwick.node.transport.SmallHttpCall;

/** Gets a version that another node has, from the nearest one that has it; confined to the event loop. */
final class VersionFetcher {
    /**
     * A node of this zone will have a version a little after one elsewhere; fetching from it costs no zone crossing.
     */
    private static final long OTHER_ZONE_DELAY_NANOS = 40_000_000L;

    private static final long RETRY_MILLIS = 150;
    private static final long TIMEOUT_MILLIS = 1_200;

    private final EventLoop loop;
    private final MemberTable table;
    private final String zone;
    private final VersionHistory history;
    private final LongSupplier currentNumber;
    private final BiConsumer<Member, byte[]> onFetched;
    private final Instruments instruments;
    private boolean fetching;
    private boolean fetchScheduled;
    private boolean fullVersionRequired;
    private String lastSourceIp = "";

    /**
     * @param loop all runs on it
     * @param table other nodes
     * @param zone of this node
     * @param history versions that were in force here
     * @param currentNumber of the version in force, 0 for none
     * @param onFetched takes the bytes of a whole version and who sent it
     * @param instruments take counts and events
     */
    VersionFetcher(
            EventLoop loop,
            MemberTable table,
            String zone,
            VersionHistory history,
            LongSupplier currentNumber,
            BiConsumer<Member, byte[]> onFetched,
            Instruments instruments) {
        this.loop = loop;
        this.table = table;
        this.zone = zone;
        this.history = history;
        this.currentNumber = currentNumber;
        this.onFetched = onFetched;
        this.instruments = instruments;
    }

    /**
     * Another node told which version it has; if that is newer, it is fetched.
     *
     * @param notBefore when the next version may be installed, in {@link System#nanoTime} terms
     */
    void onMemberUpdated(Member member, long notBefore) {
        if (fetchScheduled || fetching || member.state().version() <= currentNumber.getAsLong()) {
            return;
        }
        fetchScheduled = true;
        long delay = member.state().zone().equals(zone) ? 0 : OTHER_ZONE_DELAY_NANOS;
        loop.schedule(this::fetch, Math.max(delay, notBefore - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void fetch() {
        fetchScheduled = false;
        if (fetching) {
            return;
        }
        Optional<Member> source = chooseSource();
        if (source.isEmpty()) {
            return;
        }
        fetching = true;
        Member member = source.get();
        long baseNumber = fullVersionRequired ? 0 : currentNumber.getAsLong();
        SmallHttpCall.start(
                loop,
                member.pool(),
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, VersionUpdater.VERSION_PATH + baseNumber),
                new byte[0],
                TIMEOUT_MILLIS,
                result -> onResult(member, result));
    }

    private Optional<Member> chooseSource() {
        long now = System.nanoTime();
        List<Member> sameZone = new ArrayList<>();
        List<Member> otherZones = new ArrayList<>();
        for (Member member : table.all()) {
            if (member.state().version() <= currentNumber.getAsLong() || member.isSuspect(now)) {
                continue;
            }
            (member.state().zone().equals(zone) ? sameZone : otherZones).add(member);
        }
        List<Member> candidates = sameZone.isEmpty() ? otherZones : sameZone;
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        // The one that delivered last has the version that is here, and needs to send only what changed since.
        for (Member member : candidates) {
            if (member.ip().equals(lastSourceIp)) {
                return Optional.of(member);
            }
        }
        return Optional.of(candidates.get(ThreadLocalRandom.current().nextInt(candidates.size())));
    }

    private void onResult(Member source, SmallHttpCall.Result result) {
        fetching = false;
        if (!(result instanceof SmallHttpCall.Result.Answered response) || response.status() != 200) {
            // Its link may be full of this very version: that says nothing of the requests it runs.
            instruments.counters().add(NodeMetricNames.VERSIONS_FETCH_FAILURES);
            scheduleRetry();
            return;
        }
        instruments.counters().add(NodeMetricNames.VERSIONS_FETCHED_BYTES, response.body().length);
        Optional<byte[]> encoded =
                VersionHistory.VersionDelta.decode(response.body()).flatMap(history::apply);
        if (encoded.isEmpty()) {
            // The next one is asked for whole, or two nodes that differ in an old version would never agree again.
            fullVersionRequired = true;
            instruments.log().write(Event.VERSION_REFUSED, "from", source.ip(), "why", "does not fit the version here");
            scheduleRetry();
            return;
        }
        fullVersionRequired = false;
        lastSourceIp = source.ip();
        onFetched.accept(source, encoded.get());
    }

    private void scheduleRetry() {
        lastSourceIp = "";
        fetchScheduled = true;
        loop.schedule(this::fetch, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}

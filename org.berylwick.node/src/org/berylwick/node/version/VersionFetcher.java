package org.berylwick.node.version;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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

/**
 * Fetches a newer version from another node, preferably one in the same availability zone, and from a second one if the
 * first does not respond soon. Confined to the event loop.
 */
final class VersionFetcher {
    /**
     * Delay before a version announced by a node in another zone is fetched. A node in this zone will probably have the
     * version shortly after, and fetching it from that node causes no traffic between zones.
     */
    private static final long OTHER_ZONE_DELAY_NANOS = 40_000_000L;

    private static final long RETRY_MILLIS = 150;
    private static final long TIMEOUT_MILLIS = 1_200;
    /** Several times the length of the largest version that the store accepts. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    /**
     * Time without a response after which the version is requested from a second node as well. The link of the first
     * may be saturated, or the node may have failed.
     */
    private static final long HEDGE_DELAY_MILLIS = 300;
    /** Time without a response after which the store is read instead. */
    private static final long OVERDUE_MILLIS = 600;

    private final EventLoop loop;
    private final MemberTable table;
    private final String zone;
    private final VersionHistory history;
    private final LongSupplier currentNumber;
    private final BiConsumer<Member, byte[]> onFetched;
    private final Runnable onOverdue;
    private final Instruments instruments;
    private Optional<Fetch> running = Optional.empty();
    private boolean fetchScheduled;
    private boolean fullVersionRequired;
    private String lastSourceIp = "";

    /**
     * @param loop event loop on which everything runs
     * @param table the other nodes
     * @param zone availability zone of this node
     * @param history versions that were recently in force on this node
     * @param currentNumber supplies the number of the version in force, 0 for none
     * @param onFetched called with the node that sent a version and the complete encoded version
     * @param onOverdue called if no node has delivered a version within {@link #OVERDUE_MILLIS}
     * @param instruments metrics and event log of this node
     */
    VersionFetcher(
            EventLoop loop,
            MemberTable table,
            String zone,
            VersionHistory history,
            LongSupplier currentNumber,
            BiConsumer<Member, byte[]> onFetched,
            Runnable onOverdue,
            Instruments instruments) {
        this.loop = loop;
        this.table = table;
        this.zone = zone;
        this.history = history;
        this.currentNumber = currentNumber;
        this.onFetched = onFetched;
        this.onOverdue = onOverdue;
        this.instruments = instruments;
    }

    /**
     * Schedules a fetch if the version in force on another node is newer than the one here.
     *
     * @param member node whose state was received
     * @param notBefore earliest time of the fetch, in {@link System#nanoTime} terms; the next version may not be
     *     installed earlier
     */
    void onMemberUpdated(Member member, long notBefore) {
        if (fetchScheduled || running.isPresent() || member.state().version() <= currentNumber.getAsLong()) {
            return;
        }
        fetchScheduled = true;
        long delay = member.state().zone().equals(zone) ? 0 : OTHER_ZONE_DELAY_NANOS;
        loop.schedule(this::fetch, Math.max(delay, notBefore - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    /**
     * Schedules a fetch if any node is known to have a newer version than the one in force.
     *
     * @param notBefore earliest time of the fetch, in {@link System#nanoTime} terms
     */
    void fetchIfOutdated(long notBefore) {
        for (Member member : table.all()) {
            onMemberUpdated(member, notBefore);
        }
    }

    private void fetch() {
        fetchScheduled = false;
        if (running.isPresent()) {
            return;
        }
        Fetch fetch = new Fetch();
        running = Optional.of(fetch);
        if (!fetch.tryNextSource()) {
            running = Optional.empty();
            return;
        }
        loop.schedule(fetch::tryNextSource, HEDGE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(fetch::reportOverdue, OVERDUE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The attempts to fetch one version from different nodes; the first complete version counts. */
    private final class Fetch {
        private final Set<String> triedIps = new HashSet<>();
        private int pendingAttempts;
        private boolean finished;

        /** Sends a request to a node that was not tried yet; false if there is none or it is not needed any more. */
        boolean tryNextSource() {
            Optional<Member> source = finished ? Optional.empty() : chooseSource(triedIps);
            if (source.isEmpty()) {
                return false;
            }
            Member member = source.get();
            triedIps.add(member.ip());
            pendingAttempts++;
            long baseNumber = fullVersionRequired ? 0 : currentNumber.getAsLong();
            BufferedHttpCall.start(
                    loop,
                    member.pool(),
                    new DefaultHttpRequest(
                            HttpVersion.HTTP_1_1, HttpMethod.GET, VersionUpdater.VERSION_PATH + baseNumber),
                    new byte[0],
                    TIMEOUT_MILLIS,
                    MAX_RESPONSE_BYTES,
                    result -> onResult(this, member, result));
            return true;
        }

        void reportOverdue() {
            if (!finished) {
                onOverdue.run();
            }
        }

        /** Records the end of an attempt; returns whether its result is still of use. */
        boolean onAttemptEnded(boolean delivered) {
            pendingAttempts--;
            if (finished) {
                return false;
            }
            finished = delivered || pendingAttempts == 0;
            if (finished) {
                running = Optional.empty();
            }
            return true;
        }
    }

    private Optional<Member> chooseSource(Set<String> excludedIps) {
        long now = System.nanoTime();
        List<Member> sameZone = new ArrayList<>();
        List<Member> otherZones = new ArrayList<>();
        List<Member> suspects = new ArrayList<>();
        for (Member member : table.all()) {
            if (member.state().version() <= currentNumber.getAsLong() || excludedIps.contains(member.ip())) {
                continue;
            }
            if (member.isSuspect(now)) {
                suspects.add(member);
                continue;
            }
            (member.state().zone().equals(zone) ? sameZone : otherZones).add(member);
        }
        List<Member> candidates = firstNonEmpty(sameZone, otherZones, suspects);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        // The node that sent the previous version is known to have it as a base, so that it can send a small delta.
        for (Member member : candidates) {
            if (member.ip().equals(lastSourceIp)) {
                return Optional.of(member);
            }
        }
        return Optional.of(candidates.get(ThreadLocalRandom.current().nextInt(candidates.size())));
    }

    @SafeVarargs
    private static List<Member> firstNonEmpty(List<Member>... lists) {
        for (List<Member> list : lists) {
            if (!list.isEmpty()) {
                return list;
            }
        }
        return List.of();
    }

    private void onResult(Fetch fetch, Member source, BufferedHttpCall.Result result) {
        boolean delivered = result instanceof BufferedHttpCall.Result.Completed completed && completed.status() == 200;
        boolean useful = fetch.onAttemptEnded(delivered);
        if (!delivered) {
            // Not reported as a failure of the node: its link may be saturated with this very version, which does not
            // mean that it cannot serve requests.
            instruments.counters().increment(NodeMetricNames.VERSIONS_FETCH_FAILURES);
            if (useful && running.isEmpty()) {
                scheduleRetry();
            }
            return;
        }
        if (!useful) {
            return;
        }
        BufferedHttpCall.Result.Completed response = (BufferedHttpCall.Result.Completed) result;
        instruments.counters().add(NodeMetricNames.VERSIONS_FETCHED_BYTES, response.body().length);
        Optional<byte[]> encoded =
                VersionHistory.VersionDelta.decode(response.body()).flatMap(history::apply);
        if (encoded.isEmpty()) {
            // Fetches the complete version next. If two nodes had different content for the same version number, every
            // further delta between them would fail as well.
            fullVersionRequired = true;
            instruments
                    .log()
                    .write(
                            Event.VERSION_REFUSED,
                            "from",
                            source.ip(),
                            "why",
                            "delta is damaged or was computed from a version that differs here");
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

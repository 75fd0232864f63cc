package org.berylwick.internal.spread;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.MembershipEvent;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.PeerMessage;
import org.berylwick.proto.Refused;
import org.berylwick.transport.PeerCalls;
import org.berylwick.transport.PeerStream;

/**
 * Streams to and from other daemons: decides which to open, admit and close.
 *
 * <p>Not thread-safe; confined to the spread thread.
 */
final class LinkTable {
    private static final EventLog EVENTS = new EventLog(LinkTable.class);
    private static final long INITIAL_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 5_000;
    private static final long HELLO_TIMEOUT_MILLIS = 3_000;
    private static final long UNCHOSEN_STREAM_GRACE_MILLIS = 10_000;
    private static final double ADMISSIONS_PER_SECOND = 50;
    private static final double ADMISSION_BURST = 20;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final SpreadTuning tuning;
    private final PeerCalls calls;
    private final PeerStream.Listener listener;
    private final TimeSource time;
    private final RandomGenerator random;
    private final SpreadMetrics metrics;
    private final TokenBucket admission;
    private final Map<PeerStream, PeerLink> links = new LinkedHashMap<>();
    private final Map<HostPort, Retry> retries = new HashMap<>();

    private record Retry(Backoff backoff, Deadline notBefore) {}

    LinkTable(
            SpreadTuning tuning,
            PeerCalls calls,
            PeerStream.Listener listener,
            TimeSource time,
            RandomGenerator random,
            SpreadMetrics metrics) {
        this.tuning = tuning;
        this.calls = calls;
        this.listener = listener;
        this.time = time;
        this.random = random;
        this.metrics = metrics;
        this.admission = new TokenBucket(time, ADMISSIONS_PER_SECOND, ADMISSION_BURST);
    }

    Optional<PeerLink> find(PeerStream stream) {
        return Optional.ofNullable(links.get(stream));
    }

    /** Returns the links whose peers have identified themselves with a hello message. */
    List<PeerLink> established() {
        return links.values().stream().filter(PeerLink::isEstablished).toList();
    }

    Collection<PeerLink> all() {
        return new ArrayList<>(links.values());
    }

    /**
     * Admits a stream opened by a peer, or refuses it if there are too many incoming streams or new ones arrive too
     * fast.
     *
     * <p>A refused peer is told to retry after a randomized delay, so that refused peers do not all return at once.
     *
     * @return the new link, or empty if the stream was refused
     */
    Optional<PeerLink> admit(PeerStream stream) {
        long incomingCount = links.values().stream().filter(l -> !l.outgoing).count();
        if (incomingCount >= tuning.maxIncomingStreams() || !admission.tryTake()) {
            metrics.streamsRefused.inc();
            long retryAfterMillis = RETRY_AFTER_MILLIS + random.nextLong(RETRY_AFTER_MILLIS);
            stream.send(PeerMessage.newBuilder()
                    .setRefused(Refused.newBuilder().setRetryAfterMs((int) retryAfterMillis))
                    .build());
            stream.close();
            return Optional.empty();
        }
        metrics.streamsOpened.inc();
        PeerLink link = new PeerLink(stream, false, null, time.nanoTime());
        links.put(stream, link);
        return Optional.of(link);
    }

    /**
     * Opens streams to the members of {@code chosen} that have no link.
     *
     * <p>Outgoing streams to other members are closed once every chosen member is linked and the stream is older than a
     * grace period.
     *
     * @return the newly opened links
     */
    List<PeerLink> reconcile(List<Member> chosen) {
        Set<String> linkedInstances = links.values().stream()
                .flatMap(l -> l.peer.stream())
                .map(Member::instance)
                .collect(Collectors.toSet());
        List<PeerLink> opened = new ArrayList<>();
        for (Member member : chosen) {
            if (!linkedInstances.contains(member.instance())) {
                open(member.address()).ifPresent(opened::add);
            }
        }
        Set<String> chosenInstances = chosen.stream().map(Member::instance).collect(Collectors.toSet());
        long graceNanos = UNCHOSEN_STREAM_GRACE_MILLIS * 1_000_000L;
        for (PeerLink link : all()) {
            boolean noLongerChosen = link.outgoing
                    && link.isEstablished()
                    && !chosenInstances.contains(link.peer.get().instance())
                    && linkedInstances.containsAll(chosenInstances)
                    && time.nanoTime() - link.openedAtNanos > graceNanos;
            if (noLongerChosen) {
                close(link);
            }
        }
        return opened;
    }

    /**
     * Opens a stream to {@code address}, unless one exists already or the retry delay of the address has not elapsed.
     */
    Optional<PeerLink> open(HostPort address) {
        Retry retry = retries.get(address);
        boolean backingOff = retry != null && !retry.notBefore().isPast(time);
        boolean alreadyOpened = links.values().stream().anyMatch(l -> address.equals(l.address));
        if (backingOff || alreadyOpened) {
            return Optional.empty();
        }
        PeerStream stream = calls.open(address, listener);
        PeerLink link = new PeerLink(stream, true, address, time.nanoTime());
        links.put(stream, link);
        return Optional.of(link);
    }

    /** Records that the peer identified itself with a hello message. */
    void onEstablished(PeerLink link, Member peer) {
        link.peer = Optional.of(peer);
        link.address = peer.address();
        retries.remove(peer.address());
        metrics.streamsOpened.inc();
    }

    /** Closes a stream that the peer refused; the address is not retried before the delay given by the peer. */
    void onRefused(PeerLink link, long retryAfterMillis) {
        retries.put(link.address, new Retry(backoffFor(link.address), Deadline.afterMillis(time, retryAfterMillis)));
        close(link);
    }

    /** Removes a stream that ended or fell silent; the address of an outgoing one is retried after a backoff delay. */
    void onClosed(PeerLink link) {
        links.remove(link.stream);
        if (link.outgoing) {
            Backoff backoff = backoffFor(link.address);
            retries.put(link.address, new Retry(backoff, Deadline.afterMillis(time, backoff.nextDelayMillis())));
        }
    }

    private Backoff backoffFor(HostPort address) {
        Retry known = retries.get(address);
        return known == null ? new Backoff(random, INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS) : known.backoff();
    }

    /** Closes a stream without scheduling a retry. */
    void close(PeerLink link) {
        links.remove(link.stream);
        link.stream.close();
    }

    /**
     * Closes the streams on which nothing was received within the silence timeout, or no hello within the hello
     * timeout.
     *
     * <p>A device on the network path may have dropped the connection state. Such a stream delivers nothing and does
     * not end by itself.
     *
     * @return the closed links
     */
    List<PeerLink> closeSilent() {
        List<PeerLink> silent = new ArrayList<>();
        long now = time.nanoTime();
        for (PeerLink link : all()) {
            long timeoutMillis = link.isEstablished() ? tuning.silenceTimeoutMillis() : HELLO_TIMEOUT_MILLIS;
            if (now - link.lastReceivedNanos > timeoutMillis * 1_000_000L) {
                EVENTS.log(MembershipEvent.STREAM_SILENT, link.address);
                onClosed(link);
                link.stream.close();
                silent.add(link);
            }
        }
        return silent;
    }

    void closeAll() {
        all().forEach(this::close);
    }
}

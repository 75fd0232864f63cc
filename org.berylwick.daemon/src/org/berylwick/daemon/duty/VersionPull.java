package org.berylwick.daemon.duty;

import org.berylwick.errors.PeerError;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.VersionEvent;
import org.berylwick.internal.kernel.Duty;
import org.berylwick.internal.kernel.Ring;
import org.berylwick.internal.spread.SpreadMetrics;
import org.berylwick.internal.spread.Spreader;
import org.berylwick.internal.spread.VersionDeltaDecoder;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.InstalledVersion.InForce;
import org.berylwick.internal.version.InstalledVersion.Install;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;
import org.berylwick.transport.PeerClient;

/**
 * Takes versions from peers that have newer ones, one at a time.
 *
 * <p>An offer that fails is not tried again here: the same peer and others offer again with their next heartbeats.
 */
final class VersionPull implements Spreader.PeerVersionListener, AutoCloseable {
    private static final EventLog EVENTS = new EventLog(VersionPull.class);
    private static final String NAME = "version-pull";
    private static final int RING_CAPACITY = 256;
    private static final long POLL_NANOS = 1_000_000_000L;
    private static final long FETCH_MILLIS = 5_000;

    private final PeerClient client;
    private final InstalledVersion installed;
    private final FirstVersion first;
    private final SpreadMetrics metrics;
    private final TimeSource time;
    private final Ring<Offer> ring = new Ring<>(RING_CAPACITY);
    private Duty duty;

    private record Offer(HostPort address, long version) {}

    VersionPull(
            PeerClient client, InstalledVersion installed, FirstVersion first, SpreadMetrics metrics, TimeSource time) {
        this.first = first;
        this.client = client;
        this.installed = installed;
        this.metrics = metrics;
        this.time = time;
    }

    void start() {
        duty = new Duty(NAME, this::round);
    }

    @Override
    public void onNewerVersion(HostPort address, long version) {
        installed.onNewerVersionKnown(version);
        if (ring.offer(new Offer(address, version)) == Ring.Offer.FULL) {
            metrics.onEventRefused();
        }
    }

    @Override
    public void onPeerVersion(Member peer, VersionId inForce) {
        first.heardPeer(peer, inForce);
    }

    private void round() {
        ring.poll(POLL_NANOS).ifPresent(this::take);
    }

    private void take(Offer offer) {
        InForce base = installed.inForce();
        long held = base.snapshot().id().number();
        if (offer.version() <= held || (held == 0 && !first.mayInstall(offer.version()))) {
            return;
        }
        Result<VersionContent, PeerError> fetched = client.fetchVersion(
                        offer.address(), held, Deadline.afterMillis(time, FETCH_MILLIS))
                .flatMap(gzip -> VersionDeltaDecoder.decode(gzip, base).mapError(PeerError.Malformed::new));
        switch (fetched) {
            case Result.Err<VersionContent, PeerError>(PeerError error) -> {
                metrics.onPullFailed();
                EVENTS.log(VersionEvent.PULL_FAILED, offer.version(), offer.address(), error);
            }
            case Result.Ok<VersionContent, PeerError>(VersionContent content) -> {
                Install outcome = installed.install(content);
                EVENTS.log(VersionEvent.INSTALL, content.id(), outcome);
                if (outcome instanceof Install.Installed) {
                    metrics.onVersionPulled();
                }
            }
        }
    }

    @Override
    public void close() {
        duty.close();
    }
}

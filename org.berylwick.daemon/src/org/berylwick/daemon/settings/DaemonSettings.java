package org.berylwick.daemon.settings;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.berylwick.internal.spread.SpreadTuning;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Place;

/**
 * All settings of one daemon.
 *
 * @param instance unique name of the daemon and its backend server
 * @param place where it runs
 * @param listen addresses to listen on
 * @param backendServer what it stands before
 * @param platform the platform's store
 * @param spread how versions and members reach this daemon
 * @param admin who may change things, and how much they may send
 */
public record DaemonSettings(
        String instance,
        Place place,
        Listen listen,
        BackendServer backendServer,
        Platform platform,
        Spread spread,
        Admin admin) {
    /**
     * Addresses to listen on; port 0 takes a free one.
     *
     * @param callers for callers outside and for the own backend server
     * @param peers for other daemons
     * @param admin for operators, metrics and health
     * @param advertised where other daemons are told to connect, if not to {@code peers} itself
     */
    public record Listen(HostPort callers, HostPort peers, HostPort admin, Optional<HostPort> advertised) {
        /** Advertises the address that is listened on. */
        public Listen(HostPort callers, HostPort peers, HostPort admin) {
            this(callers, peers, admin, Optional.empty());
        }
    }

    /**
     * The backend server in the same VM.
     *
     * @param service the declared service it answers for
     * @param address where it listens
     * @param labels what routes select it by
     */
    public record BackendServer(String service, HostPort address, Labels labels) {}

    /**
     * The platform's store.
     *
     * @param uri its base address
     */
    public record Platform(URI uri) {}

    /**
     * How versions and members reach a daemon.
     *
     * @param mode whether through other daemons
     * @param tuning figures between prompt and thrifty spreading
     * @param readers daemons that read the store for each availability zone
     * @param seeds other daemons' peer addresses, for a start while the store is out
     */
    public record Spread(SpreadMode mode, SpreadTuning tuning, int readers, List<HostPort> seeds) {
        /** Copies the list. */
        public Spread {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * The operators' service.
     *
     * @param token what calls that change anything must carry
     * @param maxRequestBytes largest request taken
     */
    public record Admin(Optional<AdminToken> token, int maxRequestBytes) {}

    /** Whether daemons ask the store or each other. */
    public enum SpreadMode {
        /** Every daemon watches the store: the baseline. */
        WATCH,
        /** A few daemons in each availability zone read the store, and daemons tell each other. */
        SPREAD
    }
}

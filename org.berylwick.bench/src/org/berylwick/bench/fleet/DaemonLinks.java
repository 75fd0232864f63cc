package org.berylwick.bench.fleet;

import java.util.Optional;
import org.berylwick.lib.HostPort;

/**
 * What a daemon is told to connect to; each may be a relay.
 *
 * @param backend its backend server
 * @param platform the platform's stand-in
 * @param advertised where others are told to reach it, if not at its own address
 */
public record DaemonLinks(HostPort backend, HostPort platform, Optional<HostPort> advertised) {
    /** Links without a relay before the daemon itself. */
    public DaemonLinks(HostPort backend, HostPort platform) {
        this(backend, platform, Optional.empty());
    }
}

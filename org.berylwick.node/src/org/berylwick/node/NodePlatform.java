package org.berylwick.node;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.NodeSettings;
import org.berylwick.node.member.HeartbeatProtocol;
import org.berylwick.node.member.NodeDirectory;
import org.berylwick.node.rollout.RolloutOrders;
import org.berylwick.node.version.ConfigurationSource;

/** The services that a node requires from the platform on which it runs. */
public interface NodePlatform {
    /** Returns the settings of this node as read at its start. */
    NodeSettings settings();

    /** Returns the region of each availability zone. */
    Map<String, String> regionOfZone();

    /** Reads the settings again. Returns empty if they cannot be read now. */
    Optional<NodeSettings> reloadSettings();

    /** Returns the names of the headers that callers and backend servers use. */
    HeaderNames headerNames();

    /** Returns the protocol with which backend servers announce themselves. */
    HeartbeatProtocol heartbeatProtocol();

    /** Opens the source from which accepted configuration versions are read. */
    ConfigurationSource configurationSource(EventLoop eventLoop);

    /** Opens the persistent list of nodes. */
    NodeDirectory directory(EventLoop eventLoop);

    /** Opens the operator's orders to roll out versions; called only if the platform has roll-outs. */
    default RolloutOrders rolloutOrders(EventLoop eventLoop) {
        throw new UnsupportedOperationException("this platform has no roll-outs");
    }
}

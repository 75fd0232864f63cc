package org.berylwick.node;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.NodeSettings;
import org.berylwick.node.member.HeartbeatProtocol;
import org.berylwick.node.member.NodeDirectory;
import org.berylwick.node.version.ConfigurationSource;

/** What a node needs of the platform that it runs on. */
public interface NodePlatform {
    /** This node's settings as they were read at its start. */
    NodeSettings settings();

    /** Regions by availability zone. */
    Map<String, String> regionOfZone();

    /** Reads the settings again; empty if they cannot be read now. */
    Optional<NodeSettings> reloadSettings();

    /** Headers that callers and backend servers know. */
    HeaderNames headerNames();

    /** How backend servers announce themselves. */
    HeartbeatProtocol heartbeatProtocol();

    /** Opens the place where accepted versions are kept. */
    ConfigurationSource configurationSource(EventLoop eventLoop);

    /** Opens the list of nodes that lasts. */
    NodeDirectory directory(EventLoop eventLoop);
}

package org.berylwick.node;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import org.berylwick.node.log.EventLog;

/** The process of a node, which is stopped by a signal. */
public final class NodeProcess {
    private NodeProcess() {}

    /**
     * Starts a node that runs until the process is asked to stop.
     *
     * @param platform platform on which the node runs
     * @param reloadSignal asks for the settings to be read again
     */
    public static void run(NodePlatform platform, ReloadSignal reloadSignal) {
        EventLog log = new EventLog(platform.settings().vmName(), new FileOutputStream(FileDescriptor.out));
        Node node = new Node(platform, log);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, log), "stop"));
        node.start();
        reloadSignal.forwardTo(node::reload);
    }

    private static void stop(Node node, EventLog log) {
        node.stop();
        // Connections that are closed from now on are no fault to be logged.
        log.close();
        node.close();
        try {
            // A JVM that exits while a thread waits for events in the operating system would wait for that thread, for
            // up to 300 ms.
            node.awaitClosed();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

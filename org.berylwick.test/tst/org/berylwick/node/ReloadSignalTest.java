package org.berylwick.node;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.testing.Await;
import org.junit.jupiter.api.Test;

/** Tests that the signal HUP reaches the node, also if it arrives before the node has started. */
class ReloadSignalTest {
    private static void sendToThisProcess() throws IOException, InterruptedException {
        String pid = Long.toString(ProcessHandle.current().pid());
        new ProcessBuilder("kill", "-HUP", pid).inheritIO().start().waitFor();
    }

    /** Guards against a process that a reload ends because it is still starting. */
    @Test
    void signalBeforeTheStartIsKept() throws IOException, InterruptedException {
        AtomicInteger reloads = new AtomicInteger();
        ReloadSignal signal = ReloadSignal.install();
        sendToThisProcess();
        signal.forwardTo(reloads::incrementAndGet);
        Await.until("the first reload", () -> reloads.get() == 1, reloads::get);
        sendToThisProcess();
        Await.until("the second reload", () -> reloads.get() == 2, reloads::get);
    }
}

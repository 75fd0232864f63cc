package org.berylwick.bench.nodes;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Threads of the faults that go on at the same time; used by one thread, but for {@link #start}. */
final class FaultThreads {
    private final NodeJudge judge;
    private final List<Thread> faults = new ArrayList<>();

    FaultThreads(NodeJudge judge) {
        this.judge = judge;
    }

    /** A step of a fault. */
    interface Step {
        void run() throws InterruptedException, IOException;
    }

    /** Starts a fault and counts it. */
    void later(String what, Step step) {
        judge.count("fault_" + what);
        faults.add(start(what, step));
    }

    /** Starts a part of a fault, which that fault waits for. */
    Thread start(String what, Step step) {
        return Thread.ofVirtual().start(() -> {
            try {
                step.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IOException e) {
                judge.find("the fault " + what + " could not be made: " + e);
            }
        });
    }

    /** Waits for all faults. */
    void join() throws InterruptedException {
        join(faults);
    }

    static void join(List<Thread> threads) throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }
}

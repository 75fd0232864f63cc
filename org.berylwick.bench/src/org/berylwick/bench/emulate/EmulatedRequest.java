package org.berylwick.bench.emulate;

/** What one request asks for; the same whenever and wherever it runs. */
final class EmulatedRequest {
    private final RequestKind kind;
    private final long workNanos;
    private final boolean makesCall;
    private final long cameAt;
    private int runs;

    EmulatedRequest(RequestKind kind, long workNanos, boolean makesCall, long cameAt) {
        this.kind = kind;
        this.workNanos = workNanos;
        this.makesCall = makesCall;
        this.cameAt = cameAt;
    }

    RequestKind kind() {
        return kind;
    }

    long workNanos() {
        return workNanos;
    }

    boolean makesCall() {
        return makesCall;
    }

    int runs() {
        return runs;
    }

    void onRun(Emulation emulation) {
        runs++;
        emulation.outcomes().onRun(emulation.clock().now() - cameAt, runs == 1);
    }
}

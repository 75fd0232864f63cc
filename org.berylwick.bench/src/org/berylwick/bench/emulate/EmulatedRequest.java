package org.berylwick.bench.emulate;

/** What one request asks for; the same whenever and wherever it runs. */
final class EmulatedRequest {
    private final RequestKind kind;
    private final long workNanos;
    private final boolean makesCall;
    private final long cameAt;
    private final String path;
    private int runs;

    EmulatedRequest(RequestKind kind, long workNanos, boolean makesCall, long cameAt, String path) {
        this.kind = kind;
        this.workNanos = workNanos;
        this.makesCall = makesCall;
        this.cameAt = cameAt;
        this.path = path;
    }

    /** Path, by which repeats of a request are the same request. */
    String path() {
        return path;
    }

    /** Whether the backend server that runs it ends. */
    boolean crashes() {
        return path.equals(Emulation.crashingPath(kind));
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
        if (runs > 1 && !kind.kind().isRetryable()) {
            throw new IllegalStateException("ran twice, though it may run once only: " + path);
        }
        emulation.outcomes().onRun(kind.name(), emulation.clock().now() - cameAt, runs == 1);
    }
}

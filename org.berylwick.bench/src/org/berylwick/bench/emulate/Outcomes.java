package org.berylwick.bench.emulate;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.berylwick.node.lib.OrganisationTag;

/** What callers got. */
public final class Outcomes {
    private static final long WINDOW_NANOS = 2_000_000_000L;
    private static final double MILLI = 1e6;

    private final Map<String, Tally> byKind = new TreeMap<>();
    private final Map<Long, Tally> byWindow = new TreeMap<>();
    private final Map<String, Tally> byOrganisation = new TreeMap<>();
    private final Histogram toFirstServer = new Histogram(60_000_000_000L, 3);
    private final Histogram heldBeforeRefusal = new Histogram(60_000_000_000L, 3);
    private final Map<String, Histogram> toFirstServerByKind = new TreeMap<>();
    private final Map<String, Histogram> callNanos = new TreeMap<>();
    private final Map<String, Histogram> answerNanos = new TreeMap<>();
    private long crossZoneBytes;
    private long runs;
    private long wastedRuns;
    private long limitedArrivals;
    private long beyondLimit;
    private long crashes;

    /** How requests ended. */
    public static final class Tally {
        private long asked;
        private long inTime;
        private long late;
        private long refused;
        private long refusedAgain;
        private long failed;
        private double owed;
        private double earned;

        /** Requests. */
        public long asked() {
            return asked;
        }

        /** Part that was answered within its objective. */
        public double inTimeShare() {
            return share(inTime);
        }

        /** Part that was answered later. */
        public double lateShare() {
            return share(late);
        }

        /** Part that was refused for good. */
        public double refusedShare() {
            return share(refused);
        }

        /** Part that failed. */
        public double failedShare() {
            return share(failed);
        }

        /** Part of its worth that was earned. */
        public double worth() {
            return owed == 0 ? 1 : earned / owed;
        }

        private double share(long count) {
            return asked == 0 ? 0 : (double) count / asked;
        }
    }

    /** How a request ended for its caller. */
    enum End {
        IN_TIME,
        LATE,
        REFUSED,
        REFUSED_AGAIN,
        FAILED
    }

    void onEnd(RequestKind kind, OrganisationTag organisation, long askedAt, End end) {
        for (Tally tally : List.of(
                byKind.computeIfAbsent(kind.name(), k -> new Tally()),
                byWindow.computeIfAbsent(askedAt / WINDOW_NANOS, w -> new Tally()),
                byOrganisation.computeIfAbsent(organisation.name(), o -> new Tally()))) {
            tally.asked++;
            tally.owed += kind.value().full();
            switch (end) {
                case IN_TIME -> {
                    tally.inTime++;
                    tally.earned += kind.value().full();
                }
                case LATE -> {
                    tally.late++;
                    tally.earned += kind.value().late();
                }
                case REFUSED -> tally.refused++;
                case REFUSED_AGAIN -> {
                    tally.refused++;
                    tally.refusedAgain++;
                }
                case FAILED -> tally.failed++;
            }
        }
    }

    /** A caller has an answer of status 200. */
    void onAnswer(String kind, long tookNanos) {
        record(answerNanos, kind, tookNanos);
    }

    /** Forgets how long answers took so far. */
    public void startAnswers() {
        answerNanos.clear();
    }

    /** A percentile of the time until callers had the answers of a kind, in milliseconds. */
    public double answerMillis(String kind, double percentile) {
        Histogram histogram = answerNanos.get(kind);
        return histogram == null ? 0 : histogram.getValueAtPercentile(percentile) / MILLI;
    }

    /** Runs of all backend servers. */
    public long runs() {
        return runs;
    }

    void onRun(String kind, long waitedNanos, boolean first) {
        runs++;
        if (first) {
            toFirstServer.recordValue(Math.max(0, waitedNanos));
            record(toFirstServerByKind, kind, Math.max(0, waitedNanos));
        }
    }

    void onWastedRun() {
        wastedRuns++;
    }

    void onRefusal(long heldNanos) {
        heldBeforeRefusal.recordValue(Math.max(0, heldNanos));
    }

    /** A call of a run was answered or refused. */
    void onCall(String kind, long tookNanos) {
        record(callNanos, kind, tookNanos);
    }

    private static void record(Map<String, Histogram> byKind, String kind, long nanos) {
        byKind.computeIfAbsent(kind, k -> new Histogram(60_000_000_000L, 3)).recordValue(nanos);
    }

    /** A percentile of the time that runs waited for a call of a kind, in milliseconds. */
    public double callMillis(String kind, double percentile) {
        Histogram histogram = callNanos.get(kind);
        return histogram == null ? 0 : histogram.getValueAtPercentile(percentile) / MILLI;
    }

    /** A request arrived at a backend server that states a limit, perhaps beyond what it allows. */
    void onLimitedArrival(boolean beyondLimit) {
        limitedArrivals++;
        this.beyondLimit += beyondLimit ? 1 : 0;
    }

    /** Requests that arrived at backend servers that stated a limit. */
    public long limitedArrivals() {
        return limitedArrivals;
    }

    /** Of these, beyond one and a half times the limit in 4 s, and five. */
    public long beyondLimit() {
        return beyondLimit;
    }

    void onCrash() {
        crashes++;
    }

    /** Backend servers that ended. */
    public long crashes() {
        return crashes;
    }

    void onCrossZone(long bytes) {
        crossZoneBytes += bytes;
    }

    /** Requests of a kind. */
    public Tally of(String kind) {
        return byKind.getOrDefault(kind, new Tally());
    }

    /** Requests of an organisation. */
    public Tally ofOrganisation(String name) {
        return byOrganisation.getOrDefault(name, new Tally());
    }

    /** Part of the worth of all requests that was earned. */
    public double worth() {
        double owed = 0;
        double earned = 0;
        for (Tally tally : byKind.values()) {
            owed += tally.owed;
            earned += tally.earned;
        }
        return owed == 0 ? 1 : earned / owed;
    }

    /** Part of the worth that was earned in the two seconds that begin at a moment. */
    public double worthAt(double second) {
        return byWindow.getOrDefault((long) (second * 1e9) / WINDOW_NANOS, new Tally())
                .worth();
    }

    /** The mean of the two worst windows of two seconds. */
    public double worstWindows() {
        List<Double> all = new ArrayList<>();
        byWindow.values().forEach(t -> all.add(t.worth()));
        all.sort(null);
        return all.size() < 2 ? 1 : (all.get(0) + all.get(1)) / 2;
    }

    /** A percentile of the time from a request's coming to its first run, in milliseconds. */
    public double toFirstServerMillis(double percentile) {
        return toFirstServer.getValueAtPercentile(percentile) / MILLI;
    }

    /** A percentile of the time for which requests were held that were refused in the end, in milliseconds. */
    public double heldBeforeRefusalMillis(double percentile) {
        return heldBeforeRefusal.getValueAtPercentile(percentile) / MILLI;
    }

    /** Bytes between availability zones. */
    public long crossZoneBytes() {
        return crossZoneBytes;
    }

    /** Part of the runs whose answer nobody got. */
    public double wastedShare() {
        return runs == 0 ? 0 : (double) wastedRuns / runs;
    }

    /** Prints all as {@code key: value} lines. */
    public void print(String name, PrintStream out) {
        print(out, name + ".worth", worth());
        print(out, name + ".worst_windows", worstWindows());
        byKind.forEach((kind, t) -> {
            print(out, name + "." + kind + ".worth", t.worth());
            print(out, name + "." + kind + ".late", t.lateShare());
            print(out, name + "." + kind + ".refused", t.refusedShare());
            print(out, name + "." + kind + ".refused_again", t.share(t.refusedAgain));
            print(out, name + "." + kind + ".failed", t.failedShare());
        });
        toFirstServerByKind.forEach((kind, histogram) ->
                print(out, name + "." + kind + ".to_first_server_p50_ms", histogram.getValueAtPercentile(50) / MILLI));
        callNanos.keySet().forEach(kind -> {
            print(out, name + "." + kind + ".call_p50_ms", callMillis(kind, 50));
            print(out, name + "." + kind + ".call_p99_ms", callMillis(kind, 99));
        });
        print(out, name + ".to_first_server_p50_ms", toFirstServerMillis(50));
        print(out, name + ".to_first_server_p99_ms", toFirstServerMillis(99));
        print(out, name + ".held_before_refusal_p99_ms", heldBeforeRefusalMillis(99));
        print(out, name + ".cross_zone_mb", crossZoneBytes / 1e6);
        print(out, name + ".wasted_runs", wastedShare());
        print(out, name + ".crashes", crashes);
        print(out, name + ".limited_arrivals", limitedArrivals);
        print(out, name + ".beyond_limit", beyondLimit);
    }

    /** The worth of each window, in order. */
    public List<Double> windows() {
        List<Double> all = new ArrayList<>();
        byWindow.values().forEach(t -> all.add(t.worth()));
        return all;
    }

    private static void print(PrintStream out, String key, double value) {
        out.println(key + ": " + String.format(Locale.ROOT, "%.4f", value));
    }
}

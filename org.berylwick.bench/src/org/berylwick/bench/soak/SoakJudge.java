package org.berylwick.bench.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.berylwick.standin.backend.RunLedger;

/** Keeps what callers were told, and holds it against what backend servers ran; any thread may use it. */
final class SoakJudge {
    private static final int MAX_EXAMPLES = 8;

    private final FaultLog log;
    private final RunLedger ledger;
    private final Map<Verdict, Long> verdicts = new EnumMap<>(Verdict.class);
    private final Map<Breach, Long> breaches = new EnumMap<>(Breach.class);
    private final List<String> examples = new ArrayList<>();
    private final Set<String> toldNotRun = new HashSet<>();
    private final Set<String> atMostOnce = new HashSet<>();
    private final Set<String> keys = new HashSet<>();
    private final Set<String> cutInStop = new HashSet<>();
    private long requests;
    private long failedInStop;
    private long keysDoubled;
    private long failedWithoutFault;

    /** What became of a request, as its caller saw it. */
    enum Verdict {
        /** The whole answer. */
        ANSWERED,
        /** A refusal that says it was not run. */
        NOT_RUN,
        /** A conflict with the first request of the same idempotency key, which has no answer yet. */
        CONFLICT,
        /** An answer that says it is not known whether it ran. */
        UNKNOWN,
        /** The connection ended before the whole answer. */
        CUT,
        /** No connection could be made. */
        UNREACHED,
        /** Nothing by the caller's deadline and some seconds. */
        OVERDUE,
        /** Another status. */
        OTHER
    }

    /** What must not happen, by the name under which it is printed. */
    enum Breach {
        /** A request that may run once ran more often. */
        RUNS_DOUBLED,
        /** An answer to another request, or with wrong content. */
        ANSWERS_WRONG,
        /** An answer that ended early as if it were whole. */
        ANSWERS_CUT_UNSEEN,
        /** A request that was said to be not run, and was. */
        FALSE_NOT_RUN,
        /** A daemon, replaced or not, went back to an older version. */
        VERSIONS_REVERTED,
        /** A route without its service was in force. */
        DANGLING,
        /** A version was in force other than as a whole. */
        PARTIAL,
        /** A change that an operator was told is accepted is not in force at the end, or twice. */
        LOST_ACCEPTED,
        /** Work that began more than seconds after a backend server or its daemon began to leave. */
        LATE_WORK_AFTER_LEAVE,
        /** A request that ran and that a planned stop cut. */
        CUT_BY_PLANNED_STOP,
        /** A planned stop that did not end. */
        ENDLESS_STOP,
        /** A daemon that did not come to the newest version after all faults were over. */
        NOT_CONVERGED
    }

    /**
     * One request that was sent.
     *
     * @param id its x-request-id
     * @param key its idempotency key, or nothing
     * @param kind of traffic
     * @param sentNanos when
     */
    record Sent(String id, String key, SoakTraffic.Kind kind, long sentNanos) {}

    SoakJudge(FaultLog log, RunLedger ledger) {
        this.log = log;
        this.ledger = ledger;
    }

    /** Notes what became of a request. */
    synchronized void settle(Sent sent, Verdict verdict, String detail) {
        requests++;
        verdicts.merge(verdict, 1L, Long::sum);
        if (!sent.kind().idempotent()) {
            atMostOnce.add(sent.id());
        }
        if (!sent.key().isEmpty()) {
            keys.add(sent.key());
        }
        if (verdict == Verdict.NOT_RUN) {
            toldNotRun.add(sent.id());
        }
        if (verdict == Verdict.ANSWERED || verdict == Verdict.CONFLICT) {
            return;
        }
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sent.sentNanos());
        String seen = sent.kind() + " " + sent.id() + " " + verdict + " after " + elapsedMillis + " ms: " + detail;
        List<FaultKind> around = log.kindsSince(sent.sentNanos());
        if (around.isEmpty()) {
            failedWithoutFault++;
            example("failed_without_fault", seen);
        }
        if (around.equals(List.of(FaultKind.PLANNED_STOP)) && verdict != Verdict.UNREACHED) {
            failedInStop++;
            example("failed_in_planned_stop", seen);
            boolean beforeDeadline = elapsedMillis < sent.kind().timeoutMillis();
            // A chain's answer tells of a timeout further down as an error of its own.
            boolean ended = verdict == Verdict.UNKNOWN && sent.kind() != SoakTraffic.Kind.CHAIN && beforeDeadline;
            if (verdict == Verdict.CUT || ended) {
                cutInStop.add(sent.id());
            }
        }
    }

    /** Notes that something happened that must not. */
    synchronized void breach(Breach breach, String detail) {
        breaches.merge(breach, 1L, Long::sum);
        example(breach.name().toLowerCase(Locale.ROOT), detail);
    }

    private void example(String name, String detail) {
        long sameName = examples.stream().filter(e -> e.startsWith(name + ":")).count();
        if (sameName < MAX_EXAMPLES) {
            examples.add(name + ": " + detail + " (with " + log.kindsSince(System.nanoTime()) + ")");
        }
    }

    /** Notes a planned stop that did not end. */
    void countEndlessStop() {
        breach(Breach.ENDLESS_STOP, "a daemon did not end after SIGTERM");
    }

    /** Notes runs that began too late after a leave of this kind. */
    void countLateWork(FaultKind kind, String node, long runs) {
        for (long i = 0; i < runs; i++) {
            breach(Breach.LATE_WORK_AFTER_LEAVE, kind + " of " + node);
        }
    }

    /** Notes what daemons logged of an invariant that only they can see. */
    void countLogged(String invariant, long lines) {
        Optional<Breach> breach = switch (invariant) {
            case "NO_DANGLING_ROUTE" -> Optional.of(Breach.DANGLING);
            case "VERSION_WHOLE" -> Optional.of(Breach.PARTIAL);
            default -> Optional.empty();
        };
        breach.ifPresent(b -> breach(b, lines + " lines that daemons logged of " + invariant));
    }

    /** Holds all claims against the runs; called once, when nothing runs any more. */
    synchronized void close() {
        for (String id : atMostOnce) {
            if (ledger.runsOf(id) > 1) {
                breach(Breach.RUNS_DOUBLED, id + " ran " + ledger.runsOf(id) + " times");
            }
        }
        for (String key : keys) {
            if (ledger.runsOfKey(key) > 1) {
                keysDoubled++;
                breach(Breach.RUNS_DOUBLED, "key " + key + " ran " + ledger.runsOfKey(key) + " times");
            }
        }
        for (String id : toldNotRun) {
            if (ledger.runsOf(id) > 0) {
                breach(Breach.FALSE_NOT_RUN, id + " ran " + ledger.runsOf(id) + " times");
            }
        }
        for (String id : cutInStop) {
            if (ledger.runsOf(id) > 0) {
                breach(Breach.CUT_BY_PLANNED_STOP, id);
            }
        }
    }

    /** The figures by name, in the order in which they are printed. */
    synchronized Map<String, Long> figures() {
        Map<String, Long> figures = new LinkedHashMap<>();
        figures.put("requests", requests);
        for (Breach b : Breach.values()) {
            figures.put(b.name().toLowerCase(Locale.ROOT), breaches.getOrDefault(b, 0L));
        }
        figures.put("runs_doubled_by_key", keysDoubled);
        figures.put("failed_in_planned_stop", failedInStop);
        figures.put("failed_without_fault", failedWithoutFault);
        new TreeMap<>(verdicts)
                .forEach((v, n) -> figures.put("verdict_" + v.name().toLowerCase(Locale.ROOT), n));
        return figures;
    }

    /** A few examples of what went wrong. */
    synchronized List<String> examples() {
        return List.copyOf(examples);
    }
}

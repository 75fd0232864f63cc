package org.berylwick.standin.objects;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** What all backend servers ran, and when leaves were acknowledged; safe for use by many threads. */
public final class RunBook {
    /** Header of a backend server's signature, in lower case. */
    public static final String SIGNATURE_HEADER = "x-response-signature";

    private static final int BULK_COPIES = 50;
    /** From the first statement of a limit until it must be kept. */
    private static final long CONTACT_NANOS = 3_000_000_000L;

    private static final long LIMIT_WINDOW_NANOS = 4_000_000_000L;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Set<String>> responses = new ConcurrentHashMap<>();
    private final Map<String, Long> leaves = new ConcurrentHashMap<>();
    private final Map<String, CrashRecord> crashing = new ConcurrentHashMap<>();
    private final Map<String, LimitRecord> limits = new ConcurrentHashMap<>();
    private final AtomicInteger overfilled = new AtomicInteger();
    private final AtomicInteger afterLeave = new AtomicInteger();
    private final long drainNanos;

    /** @param drainMillis after an acknowledged leave, in which requests may still come */
    public RunBook(long drainMillis) {
        drainNanos = drainMillis * 1_000_000;
    }

    void onRun(String id, String incarnation, boolean beyondSlots) {
        runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
        if (beyondSlots) {
            overfilled.incrementAndGet();
        }
        Long left = leaves.get(incarnation);
        if (left != null && System.nanoTime() - left > drainNanos) {
            afterLeave.incrementAndGet();
        }
    }

    /** A response to a request goes out, which may break off. */
    void onResponse(String id, int status, String signature) {
        responses.computeIfAbsent(id, i -> ConcurrentHashMap.newKeySet()).add(status + " " + signature);
    }

    /** Whether a backend server sent a response of this status and signature to a request. */
    public boolean hasResponse(String id, int status, String signature) {
        return responses(id).contains(status + " " + signature);
    }

    /** Status and signature of each response to a request. */
    public Set<String> responses(String id) {
        return responses.getOrDefault(id, Set.of());
    }

    void onAcknowledgedLeave(String incarnation) {
        leaves(incarnation);
    }

    /** What an incarnation has stated that it takes, and when requests arrived meanwhile. */
    private static final class LimitRecord {
        private double perSecond;
        private long statedAt;
        private final List<Long> arrivals = new ArrayList<>();
        private int excess;

        void forget() {
            perSecond = 0;
            arrivals.clear();
        }
    }

    private LimitRecord limitRecord(String incarnation) {
        return limits.computeIfAbsent(incarnation, i -> new LimitRecord());
    }

    /** An answer goes out in which an incarnation states a limit, or none, and whether it leaves. */
    void onStated(String incarnation, Optional<String> limit, boolean leaves) {
        if (leaves) {
            leaves(incarnation);
        }
        double perSecond = limit.filter(text -> text.matches("[0-9.]+"))
                .map(Double::parseDouble)
                .orElse(0.0);
        LimitRecord record = limitRecord(incarnation);
        synchronized (record) {
            if (limit.isEmpty()) {
                record.forget();
            } else if (perSecond > 0 && perSecond != record.perSecond) {
                record.forget();
                record.perSecond = perSecond;
                record.statedAt = System.nanoTime();
            }
        }
    }

    private void leaves(String incarnation) {
        leaves.putIfAbsent(incarnation, System.nanoTime());
    }

    /** The node beside an incarnation knows nothing of what it stated before. */
    void onNodeStarted(String incarnation) {
        LimitRecord record = limitRecord(incarnation);
        synchronized (record) {
            record.forget();
        }
    }

    void onArrival(String incarnation) {
        LimitRecord record = limitRecord(incarnation);
        long now = System.nanoTime();
        synchronized (record) {
            if (record.perSecond == 0 || now - record.statedAt < CONTACT_NANOS) {
                return;
            }
            record.arrivals.add(now);
            record.arrivals.removeIf(at -> now - at > LIMIT_WINDOW_NANOS);
            double allowed = 1.5 * record.perSecond * LIMIT_WINDOW_NANOS / 1e9 + 5;
            if (record.arrivals.size() > allowed) {
                record.excess++;
            }
        }
    }

    /** Requests beyond one and a half times what an incarnation stated that it takes in 4 s, and five. */
    public int beyondLimit() {
        int count = 0;
        for (LimitRecord record : limits.values()) {
            synchronized (record) {
                count += record.excess;
            }
        }
        return count;
    }

    /** A request that ends what runs it: when it arrived at backend servers, and when these ended. */
    private static final class CrashRecord {
        private final List<Long> arrivals = new ArrayList<>();
        private final List<Long> crashes = new ArrayList<>();
    }

    private CrashRecord crashRecord(String uri) {
        return crashing.computeIfAbsent(uri, u -> new CrashRecord());
    }

    void onCrashingArrival(String uri) {
        CrashRecord record = crashRecord(uri);
        synchronized (record) {
            record.arrivals.add(System.nanoTime());
        }
    }

    void onCrash(String uri) {
        CrashRecord record = crashRecord(uri);
        synchronized (record) {
            record.crashes.add(System.nanoTime());
        }
    }

    /** The requests that end what runs them. */
    public Set<String> crashingUris() {
        return crashing.keySet();
    }

    /** How many backend servers ended while they ran a request. */
    public int crashes(String uri) {
        CrashRecord record = crashRecord(uri);
        synchronized (record) {
            return record.crashes.size();
        }
    }

    /** How often a request arrived at backend servers later than this time after it had ended the third. */
    public long arrivalsAfterThirdCrash(String uri, long contactMillis) {
        CrashRecord record = crashRecord(uri);
        synchronized (record) {
            if (record.crashes.size() < 3) {
                return 0;
            }
            long contactAt = record.crashes.get(2) + contactMillis * 1_000_000;
            return record.arrivals.stream().filter(at -> at - contactAt > 0).count();
        }
    }

    /** How often a request was run. */
    public int runs(String id) {
        AtomicInteger count = runs.get(id);
        return count == null ? 0 : count.get();
    }

    /** Requests that came beyond the slots of a backend server. */
    public int overfilled() {
        return overfilled.get();
    }

    /** Requests that came too long after an acknowledged leave. */
    public int afterLeave() {
        return afterLeave.get();
    }

    /** The right answer to a request; its length follows from the request, and is large for bulk. */
    public static byte[] answerTo(String id, String uri, int bodyLength) {
        int copies = (uri.startsWith("/bulk/") ? BULK_COPIES : 1) * (1 + Math.floorMod(id.hashCode(), 400));
        return (id + " " + uri + " " + bodyLength + "\n").repeat(copies).getBytes(StandardCharsets.UTF_8);
    }

    /** The body of a failure of a request. */
    public static byte[] failureOf(String id) {
        return ("failed " + id + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** A backend server's signature of an answer. */
    public static String signature(byte[] answer) {
        return answer.length + "." + Integer.toHexString(java.util.Arrays.hashCode(answer));
    }
}

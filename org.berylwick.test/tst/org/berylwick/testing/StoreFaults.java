package org.berylwick.testing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import org.berylwick.errors.StoreError;
import org.berylwick.lib.Deadline;
import org.berylwick.transport.MemoryStore;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.StoreCall;
import org.berylwick.transport.StoreInterceptor;

/**
 * Makes calls of a {@link MemoryStore} fail at random from a seed, each call costing a millisecond of a manual clock.
 *
 * <p>One thread only: what other clients do meanwhile runs nested, from {@link #setMeanwhile}.
 */
public final class StoreFaults implements StoreInterceptor {
    /** The ways in which a call fails. */
    public enum Kind {
        /** Refused without effect. */
        REFUSED,
        /** The answer was lost and so was the write. */
        LOST_BEFORE,
        /** The answer was lost after the write took effect. */
        LOST_AFTER,
        /** The answer was lost and the write arrives later. */
        UNDER_WAY,
        /** The caller's process died before the call. */
        KILLED,
        /** Every call is refused for a while. */
        OUTAGE,
        /** Other clients made calls before this one. */
        MEANWHILE
    }

    /** Stands for the death of the calling process. */
    public static final class ProcessKilled extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private static final int LONGEST_OUTAGE_CALLS = 60;

    private final Random random;
    private final ManualTimeSource time;
    private final int percent;
    private final Map<Kind, Integer> struck = new EnumMap<>(Kind.class);
    private final Queue<StoreCall> underWay = new ArrayDeque<>();
    private MemoryStore store;
    private Runnable meanwhile = () -> {};
    private boolean healed;
    private boolean nested;
    private int outageCalls;

    /** @param percent of calls that fail in some way */
    public StoreFaults(long seed, ManualTimeSource time, int percent) {
        this.random = new Random(seed);
        this.time = time;
        this.percent = percent;
    }

    /** The store whose calls these faults meet, so that a write under way can arrive. */
    public void setStore(MemoryStore faulty) {
        store = faulty;
    }

    /** What other clients do between two calls of one. */
    public void setMeanwhile(Runnable others) {
        meanwhile = others;
    }

    /** How often each kind struck. */
    public Map<Kind, Integer> struck() {
        return struck;
    }

    /** Lets every write that is under way arrive, and every further call through. */
    public void heal() {
        healed = true;
        arrive(underWay.size());
    }

    private void arrive(int writes) {
        for (int i = 0; i < writes; i++) {
            StoreCall late = underWay.remove();
            StoreCall.Write write = late.write().orElseThrow();
            boolean wasHealed = healed;
            healed = true;
            store.put(new ObjectKey(late.path()), write.value(), write.precondition(), new Deadline(Long.MAX_VALUE));
            healed = wasHealed;
        }
    }

    private boolean strikes(Kind kind, int perCent) {
        if (random.nextInt(100) >= perCent) {
            return false;
        }
        struck.merge(kind, 1, Integer::sum);
        return true;
    }

    @Override
    public Optional<StoreError> before(StoreCall call) {
        if (healed) {
            return Optional.empty();
        }
        time.advance(Duration.ofMillis(1));
        if (random.nextInt(4) == 0 && !underWay.isEmpty()) {
            arrive(1);
        }
        if (!nested && strikes(Kind.MEANWHILE, percent)) {
            nested = true;
            try {
                meanwhile.run();
            } finally {
                nested = false;
            }
        }
        return fail(call);
    }

    private Optional<StoreError> fail(StoreCall call) {
        if (outageCalls > 0) {
            outageCalls--;
            return Optional.of(new StoreError.Unavailable("outage"));
        }
        if (strikes(Kind.OUTAGE, 1)) {
            outageCalls = random.nextInt(LONGEST_OUTAGE_CALLS);
        }
        if (strikes(Kind.KILLED, 1)) {
            throw new ProcessKilled();
        }
        if (strikes(Kind.REFUSED, percent / 4)) {
            return Optional.of(
                    random.nextBoolean() ? new StoreError.Unavailable("503") : new StoreError.RateLimited(5));
        }
        if (strikes(Kind.LOST_BEFORE, percent / 4)) {
            return Optional.of(new StoreError.OutcomeUnknown("lost before"));
        }
        if (call.operation() == StoreCall.Operation.PUT && strikes(Kind.UNDER_WAY, percent / 2)) {
            underWay.add(call);
            return Optional.of(new StoreError.OutcomeUnknown("under way"));
        }
        return Optional.empty();
    }

    @Override
    public Optional<StoreError> after(StoreCall call) {
        if (healed || !strikes(Kind.LOST_AFTER, percent / 2)) {
            return Optional.empty();
        }
        return Optional.of(new StoreError.OutcomeUnknown("lost after"));
    }
}

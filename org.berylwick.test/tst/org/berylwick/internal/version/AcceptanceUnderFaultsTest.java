package org.berylwick.internal.version;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.AfterContainer;
import org.berylwick.api.ApplyResult;
import org.berylwick.testing.StoreFaults;

/**
 * Operators race on one store whose answers are lost, whose writes arrive late, and that is out at times; some are
 * killed between their writes and others repeat their operation. Afterwards the accepted versions are one chain, each
 * operation is in it once at most with its audit entry, and nobody was told an outcome that is not so.
 */
class AcceptanceUnderFaultsTest {
    private static final Map<StoreFaults.Kind, Integer> STRUCK = new EnumMap<>(StoreFaults.Kind.class);
    private static final Set<Class<?>> RESULTS = new HashSet<>();

    @Property(tries = 400, seed = "20261202")
    void everyAnswerIsTrueAndEveryOperationIsAcceptedOnce(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 40) int percent) {
        OperatorsUnderFaults operators = new OperatorsUnderFaults(seed, percent);
        operators.run(25);
        operators.check();
        operators.struck().forEach((kind, times) -> STRUCK.merge(kind, times, Integer::sum));
        operators.results().forEach(r -> RESULTS.add(r.getClass()));
    }

    @AfterContainer
    static void everyKindOfFaultAndOfAnswerWasMet() {
        assertTrue(STRUCK.keySet().size() == StoreFaults.Kind.values().length, "struck: " + STRUCK);
        assertTrue(
                RESULTS.containsAll(Set.of(
                        ApplyResult.Accepted.class,
                        ApplyResult.Conflict.class,
                        ApplyResult.Unavailable.class,
                        ApplyResult.Undecided.class)),
                "met: " + RESULTS);
    }
}

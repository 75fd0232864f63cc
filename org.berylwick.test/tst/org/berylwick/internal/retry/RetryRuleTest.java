package org.berylwick.internal.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.berylwick.internal.retry.RetryRule.Verdict;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Outcome;
import org.berylwick.lib.RefusalReason;
import org.berylwick.testing.ManualTimeSource;

/** Tests which requests may be retried, and the outcome reported for those that are not. */
class RetryRuleTest {
    private final ManualTimeSource time = new ManualTimeSource();

    @Provide
    Arbitrary<List<Outcome<String>>> failures() {
        Arbitrary<Outcome<String>> refused = Arbitraries.of(RefusalReason.values())
                .map(r -> new Outcome.RefusedNotRun<String>(r, Optional.of(1_000L)));
        Arbitrary<Outcome<String>> unknown = Arbitraries.just(new Outcome.Unknown<>("cut"));
        return Arbitraries.oneOf(refused, unknown).list().ofMaxSize(8);
    }

    private static AttemptHistory historyOf(List<Outcome<String>> outcomes) {
        AttemptHistory history = AttemptHistory.NONE;
        for (Outcome<String> o : outcomes) {
            history = history.plus(o);
        }
        return history;
    }

    @Property(seed = "4721")
    void oneUnknownAttemptMakesRequestOutcomeUnknown(@ForAll("failures") List<Outcome<String>> outcomes) {
        boolean anyUnknown = outcomes.stream().anyMatch(o -> o instanceof Outcome.Unknown<String>);
        Outcome<String> outcome = historyOf(outcomes).finalOutcome();
        assertEquals(anyUnknown, outcome instanceof Outcome.Unknown<String>, outcome.toString());
    }

    @Property(seed = "4722")
    void nonIdempotentRequestThatMayHaveRunIsNotRetried(
            @ForAll("failures") List<Outcome<String>> outcomes, @ForAll @IntRange(min = 1, max = 9) int maxAttempts) {
        RetryRule rule = new RetryRule(false, true, maxAttempts, Deadline.afterMillis(time, 1_000));
        AttemptHistory history = AttemptHistory.NONE;
        for (Outcome<String> o : outcomes) {
            history = history.plus(o);
            Verdict verdict = rule.decide(history, unlimited(), time);
            if (history.mayHaveRun()) {
                assertEquals(Verdict.UNSAFE, verdict);
            }
        }
    }

    @Property(seed = "4723")
    void noRetryAfterDeadlineOrLastAttempt(
            @ForAll("failures") List<Outcome<String>> outcomes,
            @ForAll @IntRange(min = 1, max = 5) int maxAttempts,
            @ForAll @IntRange(max = 2_000) int elapsedMillis) {
        RetryRule rule = new RetryRule(true, true, maxAttempts, Deadline.afterMillis(time, 1_000));
        time.advance(Duration.ofMillis(elapsedMillis));
        AttemptHistory history = historyOf(outcomes);
        Verdict verdict = rule.decide(history, unlimited(), time);
        if (elapsedMillis >= 1_000 || history.attempts() >= maxAttempts) {
            assertNotEquals(Verdict.RETRY, verdict);
        }
        if (elapsedMillis < 1_000) {
            assertTrue(rule.attemptTimeoutMillis(history, time) <= 1_000 - elapsedMillis);
        }
    }

    @Property(seed = "4726")
    void chainOfTenCallsKeepsOneThirdOfItsTime(@ForAll @IntRange(min = 1_000, max = 60_000) int millis) {
        long left = millis;
        for (int depth = 0; depth < 10; depth++) {
            RetryRule rule = new RetryRule(true, true, 3, Deadline.afterMillis(time, left));
            left = rule.attemptTimeoutMillis(AttemptHistory.NONE, time);
        }
        assertTrue(left >= millis / 3, left + " ms left of " + millis);
    }

    @Property(seed = "4724")
    void backoffDelayStaysWithinBounds(
            @ForAll @IntRange(max = 100) int round, @ForAll @IntRange(min = 1, max = 1_000) int base) {
        Backoff backoff = new Backoff(base, 2_000);
        long delay = backoff.delayMillis(round, new Random(round));
        long bound = Math.min(2_000, (long) base << Math.min(round, 30));
        assertTrue(delay >= 0 && delay <= bound, delay + " ms, bound " + bound);
    }

    @Property(seed = "4725", tries = 20)
    void unreplayableBodyOrExhaustedBudgetPreventsRetry(@ForAll boolean idempotent) {
        AttemptHistory refused =
                AttemptHistory.NONE.plus(new Outcome.RefusedNotRun<>(RefusalReason.SHED, Optional.of(1_000L)));
        Deadline deadline = Deadline.afterMillis(time, 1_000);
        RetryBudget exhausted = new RetryBudget(time, 0, 0, 1_000);
        assertEquals(
                Verdict.NOT_REPLAYABLE, new RetryRule(idempotent, false, 3, deadline).decide(refused, exhausted, time));
        assertEquals(
                Verdict.OVER_BUDGET, new RetryRule(idempotent, true, 3, deadline).decide(refused, exhausted, time));
        assertInstanceOf(Outcome.RefusedNotRun.class, refused.finalOutcome());
    }

    private RetryBudget unlimited() {
        return new RetryBudget(time, 1, Integer.MAX_VALUE, 1_000);
    }
}

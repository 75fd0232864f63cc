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

/** Which requests may be sent again, and what is said of those that are given up. */
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
        AttemptHistory log = AttemptHistory.NONE;
        for (Outcome<String> o : outcomes) {
            log = log.plus(o);
        }
        return log;
    }

    @Property(seed = "4721")
    void oneUnknownAttemptMakesRequestOutcomeUnknown(@ForAll("failures") List<Outcome<String>> outcomes) {
        boolean anyUnknown = outcomes.stream().anyMatch(o -> o instanceof Outcome.Unknown<String>);
        Outcome<String> said = historyOf(outcomes).finalOutcome();
        assertEquals(anyUnknown, said instanceof Outcome.Unknown<String>, said.toString());
    }

    @Property(seed = "4722")
    void nonIdempotentRequestThatMayHaveRunIsNotRetried(
            @ForAll("failures") List<Outcome<String>> outcomes, @ForAll @IntRange(min = 1, max = 9) int maxAttempts) {
        RetryRule rule = new RetryRule(false, true, maxAttempts, Deadline.afterMillis(time, 1_000));
        AttemptHistory log = AttemptHistory.NONE;
        for (Outcome<String> o : outcomes) {
            log = log.plus(o);
            Verdict verdict = rule.decide(log, unlimited(), time);
            if (log.mayHaveRun()) {
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
        AttemptHistory log = historyOf(outcomes);
        Verdict verdict = rule.decide(log, unlimited(), time);
        if (elapsedMillis >= 1_000 || log.attempts() >= maxAttempts) {
            assertNotEquals(Verdict.RETRY, verdict);
        }
        if (elapsedMillis < 1_000) {
            assertTrue(rule.attemptTimeoutMillis(log, time) <= 1_000 - elapsedMillis);
        }
    }

    @Property(seed = "4726")
    void chainOfTenCallsKeepsOneThirdOfItsTime(@ForAll @IntRange(min = 1_000, max = 60_000) int millis) {
        long left = millis;
        for (int depth = 0; depth < 10; depth++) {
            RetryRule rule = new RetryRule(true, true, 3, Deadline.afterMillis(time, left));
            left = rule.attemptTimeoutMillis(AttemptHistory.NONE, time);
        }
        assertTrue(left >= millis / 3, left + " of " + millis);
    }

    @Property(seed = "4724")
    void backoffDelayStaysWithinBounds(
            @ForAll @IntRange(max = 100) int round, @ForAll @IntRange(min = 1, max = 1_000) int base) {
        Backoff backoff = new Backoff(base, 2_000);
        long pause = backoff.delayMillis(round, new Random(round));
        long bound = Math.min(2_000, (long) base << Math.min(round, 30));
        assertTrue(pause >= 0 && pause <= bound, pause + " of " + bound);
    }

    @Property(seed = "4725", tries = 20)
    void unreplayableBodyOrExhaustedBudgetPreventsRetry(@ForAll boolean idempotent) {
        AttemptHistory refused = AttemptHistory.NONE.plus(new Outcome.RefusedNotRun<>(RefusalReason.SHED, Optional.of(1_000L)));
        Deadline by = Deadline.afterMillis(time, 1_000);
        RetryBudget none = new RetryBudget(time, 0, 0, 1_000);
        assertEquals(Verdict.NOT_REPLAYABLE, new RetryRule(idempotent, false, 3, by).decide(refused, none, time));
        assertEquals(Verdict.OVER_BUDGET, new RetryRule(idempotent, true, 3, by).decide(refused, none, time));
        assertInstanceOf(Outcome.RefusedNotRun.class, refused.finalOutcome());
    }

    private RetryBudget unlimited() {
        return new RetryBudget(time, 1, Integer.MAX_VALUE, 1_000);
    }
}

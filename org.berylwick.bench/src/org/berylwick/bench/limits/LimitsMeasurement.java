package org.berylwick.bench.limits;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.berylwick.bench.Measurement;
import org.berylwick.internal.limit.SlotLimits;

/** Measures the decisions about slots and members against simpler ones; the same seed gives the same figures. */
public final class LimitsMeasurement implements Measurement {
    private static final Duration OVERLOAD_SPAN = Duration.ofMinutes(30);
    private static final Duration BURST_SPAN = Duration.ofMinutes(2);
    private static final Duration CHOICE_SPAN = Duration.ofMinutes(2);
    private static final int BURST = 24;

    private enum Limiter {
        FIFO,
        PRIORITY_ONLY,
        FIXED_PARTITION,
        SHARES
    }

    private static final List<ChoiceRun.Scenario> SCENARIOS = List.of(
            new ChoiceRun.Scenario("choice.even70", 0.7, 0.25, 1, false),
            new ChoiceRun.Scenario("choice.skewed70", 0.7, 0.55, 1, false),
            new ChoiceRun.Scenario("choice.skewed90", 0.9, 0.55, 1, false),
            new ChoiceRun.Scenario("choice.one_slow60", 0.6, 0.25, 3, false),
            new ChoiceRun.Scenario("choice.one_failing50", 0.5, 0.25, 1, true));

    @Override
    public String name() {
        return "limits";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("slots, queue and choice of member, in a loop without processes");
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
    }

    @Override
    public void run(Namespace options, PrintStream out) {
        long seed = options.getLong("seed");
        for (Limiter l : Limiter.values()) {
            overload(l, "overload." + l.name().toLowerCase(Locale.ROOT), 0, OVERLOAD_SPAN, seed, out);
        }
        for (Limiter l : Limiter.values()) {
            overload(l, "burst." + l.name().toLowerCase(Locale.ROOT), BURST, BURST_SPAN, seed, out);
        }
        for (ChoiceRun.Scenario s : SCENARIOS) {
            for (ChoiceRun.Way way : ChoiceRun.Way.values()) {
                ChoiceRun run = new ChoiceRun(way, s, seed);
                run.run(CHOICE_SPAN);
                run.print(out);
            }
        }
    }

    private static void overload(Limiter limiter, String name, int burst, Duration span, long seed, PrintStream out) {
        EventLoop loop = new EventLoop();
        OverloadRun run = new OverloadRun(name, loop, admitter(limiter, loop), seed);
        run.bulkBurst(burst);
        run.run(span);
        run.print(out, span);
    }

    private static Admitter admitter(Limiter limiter, EventLoop loop) {
        return switch (limiter) {
            case FIFO -> Admitter.OneQueue.firstComeFirstServed(loop, OverloadRun.SLOTS, OverloadRun.QUEUE);
            case PRIORITY_ONLY -> Admitter.OneQueue.mostUrgentFirst(loop, OverloadRun.SLOTS, OverloadRun.QUEUE);
            case FIXED_PARTITION -> new Admitter.FixedPartition(loop, OverloadRun.SLOTS, OverloadRun.QUEUE);
            case SHARES -> new Admitter.Shares(loop, SlotLimits.ofAllClasses(OverloadRun.SLOTS, OverloadRun.QUEUE));
        };
    }
}

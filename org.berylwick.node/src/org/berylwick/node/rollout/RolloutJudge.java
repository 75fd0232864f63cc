package org.berylwick.node.rollout;

import org.berylwick.node.lib.VersionTally;

/**
 * Judges a version by its responses, compared with those of the other versions of its service in the same time.
 * Designed for a version that gets a few requests in a hundred beside an old one whose requests fail or slow down as
 * well, by a fault that both share.
 */
public final class RolloutJudge {
    /** Fewer bad responses than this may be chance, whatever their share. */
    private static final long MIN_BAD = 5;
    /** Responses without which a version is not taken to be good. */
    static final long MIN_RESPONSES = 40;
    /**
     * Standard errors by which a share has to exceed that of the other versions. The shares are compared several times
     * a second, each of which could condemn a good version by chance.
     */
    private static final double MIN_STANDARD_ERRORS = 3.5;
    /** Shares of failed and of slow responses that count as normal even if the other versions have none. */
    private static final double TOLERATED_FAILURE_SHARE = 0.003;

    private static final double TOLERATED_SLOW_SHARE = 0.03;
    /** Factors by which the shares may exceed those of the other versions, since backend servers differ in speed. */
    private static final double TOLERATED_FAILURE_FACTOR = 1.5;

    private static final double TOLERATED_SLOW_FACTOR = 3;

    private RolloutJudge() {}

    /** What the responses of a version show. */
    public sealed interface Verdict {
        /** The version is no worse than the others. */
        record Good() implements Verdict {}

        /** There are too few responses to tell. */
        record Open() implements Verdict {}

        /** The version is worse than the others. */
        record Bad(String reason) implements Verdict {}
    }

    /**
     * Judges a version.
     *
     * @param target its responses
     * @param others responses of the other versions in the same time
     */
    public static Verdict judge(VersionTally target, VersionTally others) {
        if (isWorse(
                target.failures(),
                target.responses(),
                share(others.failures(), others.responses()) * TOLERATED_FAILURE_FACTOR + TOLERATED_FAILURE_SHARE)) {
            return new Verdict.Bad(target.failures() + " of " + target.responses() + " failed, of the others "
                    + others.failures() + " of " + others.responses());
        }
        if (isWorse(
                target.slow(),
                target.responses(),
                share(others.slow(), others.responses()) * TOLERATED_SLOW_FACTOR + TOLERATED_SLOW_SHARE)) {
            return new Verdict.Bad(target.slow() + " of " + target.responses() + " were slow, of the others "
                    + others.slow() + " of " + others.responses());
        }
        return target.responses() < MIN_RESPONSES ? new Verdict.Open() : new Verdict.Good();
    }

    private static double share(long count, long all) {
        return all == 0 ? 0 : (double) count / all;
    }

    /** Whether a count exceeds what a tolerated share explains, by more than chance does. */
    private static boolean isWorse(long bad, long all, double toleratedShare) {
        if (bad < MIN_BAD) {
            return false;
        }
        double tolerated = Math.min(1, toleratedShare);
        double expected = tolerated * all;
        // The variance of a small expected number is taken to be at least 1, as the normal approximation is too narrow.
        double standardError = Math.sqrt(Math.max(1, expected * (1 - tolerated)));
        return bad > expected + MIN_STANDARD_ERRORS * standardError;
    }
}

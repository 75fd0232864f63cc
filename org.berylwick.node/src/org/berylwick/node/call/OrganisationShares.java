package org.berylwick.node.call;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Accounts of how much slot time organisations asked for and used in the last seconds, which tell whether one is above
 * its fair share. Confined to the event loop.
 *
 * <p>The fair share is the max-min level of the organisations of one priority: demand below the level is met in full,
 * and what such organisations leave goes to the others. Values decay exponentially. They are kept multiplied by a
 * weight that grows with time, so that an account does not have to be touched in order to decay.
 */
public final class OrganisationShares {
    /** Time constant of the decay, long enough to see several requests of most organisations at one node. */
    static final double DECAY_NANOS = 5e9;
    /** Maximum number of accounts of one priority. */
    static final int MAX_ACCOUNTS = 512;

    /** Refused callers have returned after this time, or not at all. */
    private static final long RETURN_WINDOW_NANOS = 1_000_000_000L;

    private static final int PRIORITIES = 16;
    /**
     * Use below this fraction of demand counts as shortage of capacity; the rest are requests that failed otherwise.
     */
    private static final double SHORTAGE_FRACTION = 0.98;
    /** Demand of this multiple of the mean, and some deviations more, is no random difference between equal ones. */
    private static final double CLEAR_EXCESS = 2;

    private static final double CLEAR_EXCESS_DEVIATIONS = 2;
    /**
     * Multiple of the level that an organisation of such demand uses before it waits behind others. It is below 1, so
     * that it fills the slots that are left over instead of alternating between the front and the end of the queue.
     */
    private static final double CLEAR_EXCESS_USE = 0.8;
    /**
     * Use above the level that is tolerated where the demand is usual, as a multiple of the level. With less, the
     * random differences between equal organisations at the limit of capacity cost goodput.
     */
    private static final double TOLERANCE = 0.15;
    /** The same as a multiple of the standard deviation of use, if requests arrive independently. */
    private static final double TOLERANCE_DEVIATIONS = 1.5;
    /** Minimum of each organisation, as a multiple of the fraction of demand that is served of all organisations. */
    private static final double MIN_SERVED_FRACTION = 0.27;
    /**
     * Upper limit of the minimum as a multiple of the level, so that demand without limit does not raise it further.
     */
    private static final double MAX_MINIMUM_LEVELS = 3;
    /** Maximum age of a computed level. */
    private static final long LEVEL_PERIOD_NANOS = 100_000_000L;
    /** An account without demand for this time is dropped; less than 0.01 of its value is left then. */
    private static final long IDLE_NANOS = 30_000_000_000L;
    /** Shortest time between two searches for idle accounts. */
    private static final long SWEEP_PERIOD_NANOS = 10_000_000_000L;
    /** Exponent of the weight above which it is reset, far below the overflow of a double at 709. */
    private static final double MAX_EXPONENT = 200;

    private final Group[] groups = new Group[PRIORITIES];
    private long origin;
    private boolean originSet;

    /** What one organisation asked for and used among the requests of one priority. */
    static final class Account {
        private final String organisation;
        private final Group group;
        private double demand;
        private double use;
        private long touchedAt;
        private long heldUntil = Long.MIN_VALUE;
        private long leastReturnNanos;
        private long returnsUntil = Long.MIN_VALUE;
        private boolean dropped;

        private Account(String organisation, Group group) {
            this.organisation = organisation;
            this.group = group;
        }

        String organisation() {
            return organisation;
        }

        /** Until when further requests of the organisation are refused, if it is above its share. */
        long heldUntil() {
            return heldUntil;
        }

        /** Shortest time after which refused callers that may not have returned yet were told to return. */
        long leastReturnNanos() {
            return leastReturnNanos;
        }

        /** Records that a refused caller was told to return after a time. */
        void onReturnTold(long nanos, long now) {
            leastReturnNanos = now < returnsUntil ? Math.min(leastReturnNanos, nanos) : nanos;
            returnsUntil = now + RETURN_WINDOW_NANOS;
        }

        void holdUntil(long time) {
            heldUntil = Math.max(heldUntil, time);
        }
    }

    /** The organisations of one priority; sums are over all accounts. */
    private static final class Group {
        private final Map<String, Account> accounts = new HashMap<>();
        private double demand;
        private double use;
        /** Max-min level without weight, at the time it was computed. */
        private double level;

        private long levelAt = Long.MIN_VALUE;
        private long sweptAt;

        boolean isShort() {
            return use < SHORTAGE_FRACTION * demand;
        }

        void drop(Account account) {
            account.dropped = true;
            demand = Math.max(0, demand - account.demand);
            use = Math.max(0, use - account.use);
        }

        void dropIdle(long now) {
            sweptAt = now;
            for (Iterator<Account> i = accounts.values().iterator(); i.hasNext(); ) {
                Account account = i.next();
                if (now - account.touchedAt > IDLE_NANOS) {
                    drop(account);
                    i.remove();
                }
            }
        }

        /** Drops the accounts with less than the mean demand, or all if they are equal. */
        void dropSmallest() {
            double mean = demand / accounts.size();
            int before = accounts.size();
            for (Iterator<Account> i = accounts.values().iterator(); i.hasNext(); ) {
                Account account = i.next();
                if (account.demand < mean) {
                    drop(account);
                    i.remove();
                }
            }
            if (accounts.size() == before) {
                accounts.values().forEach(this::drop);
                accounts.clear();
            }
        }

        void rescale(double factor) {
            demand *= factor;
            use *= factor;
            for (Account account : accounts.values()) {
                account.demand *= factor;
                account.use *= factor;
            }
        }

        /** Computes the level: starts from equal parts, and takes out what is asked below the level until none is. */
        double computeLevel() {
            double previous = -1;
            double current = use / Math.max(1, accounts.size());
            while (current > previous) {
                previous = current;
                double below = 0;
                int limited = 0;
                for (Account account : accounts.values()) {
                    if (account.demand <= current) {
                        below += account.demand;
                    } else {
                        limited++;
                    }
                }
                if (limited == 0) {
                    return Double.MAX_VALUE;
                }
                current = Math.max(current, (use - below) / limited);
            }
            return current;
        }
    }

    /** Returns the account of an organisation, which is opened if there is none. */
    Account account(String organisation, int priority, long now) {
        int index = Math.max(0, Math.min(PRIORITIES - 1, priority));
        if (groups[index] == null) {
            groups[index] = new Group();
        }
        Group group = groups[index];
        Account account = group.accounts.get(organisation);
        if (account == null) {
            account = open(organisation, group, now);
        }
        account.touchedAt = now;
        return account;
    }

    private Account open(String organisation, Group group, long now) {
        if (now - group.sweptAt > SWEEP_PERIOD_NANOS || group.accounts.size() >= MAX_ACCOUNTS) {
            group.dropIdle(now);
        }
        if (group.accounts.size() >= MAX_ACCOUNTS) {
            group.dropSmallest();
        }
        Account account = new Account(organisation, group);
        group.accounts.put(organisation, account);
        return account;
    }

    /** Adds to the demand of an organisation; the cost may be negative to correct an estimate made at that time. */
    void addDemand(Account account, long costNanos, long at) {
        // First, because it may rescale the account.
        double weight = weight(at);
        double change = Math.max(-account.demand, costNanos * weight);
        account.demand += change;
        if (!account.dropped) {
            account.group.demand += change;
        }
    }

    /**
     * Adds to the use of an organisation.
     *
     * @param account account of the organisation
     * @param costNanos slot time; negative to return a charge
     * @param at the current time, or that of the charge which is returned or corrected
     */
    void addUse(Account account, long costNanos, long at) {
        double weight = weight(at);
        double change = Math.max(-account.use, costNanos * weight);
        account.use += change;
        if (!account.dropped) {
            account.group.use += change;
        }
    }

    /** Whether an organisation used more than its share, by more than one request, while capacity is short. */
    boolean isAboveShare(Account account, long costNanos, long now) {
        Group group = account.group;
        if (!group.isShort() || account.dropped) {
            return false;
        }
        double weight = weight(now);
        double level = level(group, weight, now);
        double use = account.use / weight;
        if (use <= toleratedUse(account, weight, level, costNanos)) {
            return false;
        }
        double servedFraction = group.use / group.demand;
        double minimum = MIN_SERVED_FRACTION * servedFraction * account.demand / weight;
        return use >= Math.min(minimum, MAX_MINIMUM_LEVELS * level);
    }

    /** Returns the use that does not count as above the share. */
    private static double toleratedUse(Account account, double weight, double level, long costNanos) {
        double demand = account.demand / weight;
        double meanDemand = account.group.demand / account.group.accounts.size() / weight;
        double clearExcess = CLEAR_EXCESS * meanDemand + CLEAR_EXCESS_DEVIATIONS * Math.sqrt(meanDemand * costNanos);
        if (demand > Math.max(level, clearExcess)) {
            return CLEAR_EXCESS_USE * level + costNanos;
        }
        return level + Math.max(costNanos, TOLERANCE * level + TOLERANCE_DEVIATIONS * Math.sqrt(level * costNanos));
    }

    /** Returns the demand of an organisation as a multiple of its fair share, at least 1. */
    double excess(Account account, long now) {
        double weight = weight(now);
        double level = level(account.group, weight, now);
        return level <= 0 ? 1 : Math.max(1, account.demand / weight / level);
    }

    private static double level(Group group, double weight, long now) {
        if (group.levelAt == Long.MIN_VALUE || now - group.levelAt > LEVEL_PERIOD_NANOS) {
            group.level = group.computeLevel() / weight;
            group.levelAt = now;
        }
        return group.level;
    }

    private double weight(long at) {
        if (!originSet) {
            origin = at;
            originSet = true;
        }
        double exponent = (at - origin) / DECAY_NANOS;
        if (exponent <= MAX_EXPONENT) {
            return Math.exp(exponent);
        }
        double factor = Math.exp(-exponent);
        origin = at;
        for (Group group : groups) {
            if (group != null) {
                group.rescale(factor);
            }
        }
        return 1;
    }

    /** Returns the number of accounts. */
    public int size() {
        int size = 0;
        for (Group group : groups) {
            size += group == null ? 0 : group.accounts.size();
        }
        return size;
    }

    /** Returns the largest use of an organisation among those of its priority, as a percentage. */
    public int largestPercent() {
        double largest = 0;
        for (Group group : groups) {
            if (group == null || group.use <= 0) {
                continue;
            }
            for (Account account : group.accounts.values()) {
                largest = Math.max(largest, account.use / group.use);
            }
        }
        return (int) Math.round(100 * largest);
    }
}

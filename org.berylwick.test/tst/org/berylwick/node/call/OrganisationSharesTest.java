package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the accounts of organisations. */
class OrganisationSharesTest {
    private static final long MILLIS = 1_000_000L;
    private static final long SECONDS = 1_000 * MILLIS;
    private static final int PRIORITY = 1;

    private final OrganisationShares shares = new OrganisationShares();

    private OrganisationShares.Account record(String name, int priority, long demand, long use, long now) {
        OrganisationShares.Account account = shares.account(name, priority, now);
        shares.addDemand(account, demand * MILLIS, now);
        shares.addUse(account, use * MILLIS, now);
        return account;
    }

    private boolean isAbove(OrganisationShares.Account account, long now) {
        return shares.isAboveShare(account, MILLIS, now);
    }

    /** Guards against a large organisation being called above its share while all are served. */
    @Test
    void nobodyIsAboveWhileAllIsServed() {
        OrganisationShares.Account large = record("large", PRIORITY, 1_000, 1_000, 0);
        record("small", PRIORITY, 10, 10, 0);
        assertFalse(isAbove(large, 0));
    }

    /** Guards against what small organisations leave being lost to those that ask for more. */
    @Test
    void unusedSharesGoToTheOthers() {
        // The level is (600 - 100) / 2 = 250.
        record("small", PRIORITY, 100, 100, 0);
        OrganisationShares.Account modest = record("modest", PRIORITY, 1_000, 100, 0);
        OrganisationShares.Account heavy = record("heavy", PRIORITY, 1_000, 400, 0);
        assertFalse(isAbove(modest, 0));
        assertTrue(isAbove(heavy, 0));
    }

    /** Guards against an organisation with much demand that gets nothing but its equal part. */
    @Test
    void minimumGrowsWithDemand() {
        for (int i = 0; i < 50; i++) {
            record("o" + i, PRIORITY, 20, 10, 0);
        }
        assertFalse(isAbove(record("heavy", PRIORITY, 120, 14, 0), 0));
        assertTrue(isAbove(record("heavier", PRIORITY, 120, 20, 0), 0));
    }

    /** Guards against the use of more urgent organisations being compared with that of less urgent ones. */
    @Test
    void prioritiesAreSeparate() {
        OrganisationShares.Account urgent = record("urgent", 0, 1_000, 1_000, 0);
        record("other", 3, 1_000, 10, 0);
        assertFalse(isAbove(urgent, 0));
    }

    /** Guards against use that weighs on an organisation for longer than some seconds, and against an overflow. */
    @Test
    void useDecaysAlsoOverDays() {
        OrganisationShares.Account first = record("first", PRIORITY, 1_000, 1_000, 0);
        OrganisationShares.Account second = record("second", PRIORITY, 1_000, 100, 0);
        assertTrue(isAbove(first, 0));
        for (long now : new long[] {3_600 * SECONDS, 30 * 86_400 * SECONDS}) {
            second = record("second", PRIORITY, 1_000, 700, now);
            first = record("first", PRIORITY, 1_000, 300, now);
            assertTrue(isAbove(second, now));
            assertFalse(isAbove(first, now));
        }
    }

    /** Guards against a charge that is returned later leaving a rest, or taking more than it added. */
    @Test
    void returnedChargeLeavesNothing() {
        OrganisationShares.Account account = record("first", PRIORITY, 1_000, 500, 0);
        record("second", PRIORITY, 1_000, 500, 0);
        shares.addUse(account, 300 * MILLIS, SECONDS);
        shares.addUse(account, -300 * MILLIS, SECONDS);
        assertFalse(isAbove(account, 20 * SECONDS));
        assertEquals(50, shares.largestPercent());
    }

    /** Guards against memory that grows with the number of organisations, and accounts of those that are gone. */
    @Test
    void accountsAreBoundedAndIdleOnesDropped() {
        for (int i = 0; i < 5_000; i++) {
            record("o" + i, PRIORITY, 1 + i % 7, 1, i * MILLIS);
            assertTrue(shares.size() <= OrganisationShares.MAX_ACCOUNTS, "accounts " + shares.size());
        }
        record("late", PRIORITY, 1, 1, 100 * SECONDS);
        assertEquals(1, shares.size());
    }
}

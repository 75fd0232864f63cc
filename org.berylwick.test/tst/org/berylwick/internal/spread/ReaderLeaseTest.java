package org.berylwick.internal.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.lib.Result;
import org.junit.jupiter.api.Test;

/** Tests how reader slots are acquired, renewed and freed. */
class ReaderLeaseTest {
    private static final int MAX_READERS = 2;
    private static final long LEASE_MILLIS = 10;

    /** At each step one of six daemons tries to acquire or renew a slot and writes the resulting lease. */
    @Property(seed = "5")
    void holdersNeverExceedMaxReaders(@ForAll @Size(max = 60) List<@IntRange(min = 0, max = 5) Integer> daemonIndexes) {
        ReaderLease lease = ReaderLease.EMPTY;
        Map<String, Long> heldUntil = new HashMap<>();
        for (int now = 0; now < daemonIndexes.size(); now++) {
            String instance = "d" + daemonIndexes.get(now);
            if (lease.acquireOrRenew(instance, now, MAX_READERS, now + LEASE_MILLIS)
                    instanceof ReaderLease.Decision.Write(ReaderLease next, int slot)) {
                assertTrue(slot < MAX_READERS);
                lease = next;
                heldUntil.put(instance, now + LEASE_MILLIS);
            }
            long nowMillis = now;
            assertTrue(heldUntil.values().stream().filter(t -> t > nowMillis).count() <= MAX_READERS, lease::toString);
            assertTrue(lease.holders().size() <= MAX_READERS);
        }
    }

    @Test
    void expiredSlotIsTakenByAnotherDaemon() {
        ReaderLease full = new ReaderLease(List.of(new ReaderLease.Holder("a", 10), new ReaderLease.Holder("b", 20)));
        assertInstanceOf(ReaderLease.Decision.Full.class, full.acquireOrRenew("c", 9, MAX_READERS, 19));
        ReaderLease.Decision.Write taken =
                assertInstanceOf(ReaderLease.Decision.Write.class, full.acquireOrRenew("c", 10, MAX_READERS, 20));
        assertEquals(1, taken.slot());
        assertEquals(
                List.of("b", "c"),
                taken.next().holders().stream()
                        .map(ReaderLease.Holder::instance)
                        .toList());
    }

    // A holder is paused past the expiry of its lease and another daemon takes its slot. When the first one resumes and
    // tries to renew, it must find all slots taken instead of evicting the other daemon or adding a third holder.
    @Test
    void holderPausedPastExpiryFindsAllSlotsTaken() {
        ReaderLease others = new ReaderLease(List.of(new ReaderLease.Holder("b", 30), new ReaderLease.Holder("c", 30)));
        assertInstanceOf(ReaderLease.Decision.Full.class, others.acquireOrRenew("a", 25, MAX_READERS, 35));
    }

    /** Guards against a lease of another writer that never expires, so that no daemon of the zone reads the store. */
    @Test
    void slotThatExpiresTooLateIsTaken() {
        ReaderLease odd = new ReaderLease(List.of(
                new ReaderLease.Holder("a", Long.MAX_VALUE), new ReaderLease.Holder("b", 1_000_000_000_000_000L)));
        assertEquals(
                0,
                assertInstanceOf(ReaderLease.Decision.Write.class, odd.acquireOrRenew("c", 10, MAX_READERS, 20))
                        .slot());
    }

    /** Guards against a lease that can be decoded and then ends each round of the reader role. */
    @Test
    void leaseWithoutAnInstanceIsNotDecoded() {
        byte[] json = "{\"holders\":[{\"instance\":null,\"untilEpochMillis\":5}]}".getBytes(StandardCharsets.UTF_8);
        assertInstanceOf(Result.Err.class, ConfigurationCodec.decode(json, ReaderLease.class));
    }
}

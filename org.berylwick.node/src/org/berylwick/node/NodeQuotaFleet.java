package org.berylwick.node;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.berylwick.node.member.MemberTable;
import org.berylwick.node.quota.QuotaFleet;

/**
 * What the gossip and the directory tell of the nodes that limits depend on.
 *
 * @param ownIp address of this node
 * @param storeReaders the nodes that may be quota servers
 * @param members the other nodes
 * @param silenceTimeoutNanos time without a datagram after which a node counts as silent
 * @param count number of nodes including this one
 * @param countKnown whether the directory was read since the start
 */
record NodeQuotaFleet(
        String ownIp,
        StoreReaders storeReaders,
        MemberTable members,
        LongSupplier silenceTimeoutNanos,
        IntSupplier count,
        BooleanSupplier countKnown)
        implements QuotaFleet {
    /**
     * Silence after which an address no longer counts as a node. Without it, VMs that were replaced would leave the
     * others in a minority for good. A partition that lasts longer may have a quota server on each side.
     */
    static final long MAX_SILENCE_NANOS = 600_000_000_000L;

    @Override
    public List<String> readers() {
        return storeReaders.widestNodes();
    }

    @Override
    public int nodeCount() {
        return count.getAsInt();
    }

    @Override
    public int heardCount() {
        return members.countReachableWithin(silenceTimeoutNanos.getAsLong(), System.nanoTime()) + 1;
    }

    @Override
    public boolean isNodeCountKnown() {
        return countKnown.getAsBoolean();
    }
}

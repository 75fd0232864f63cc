package org.berylwick.internal.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;
import org.berylwick.lib.TimeSource;

/**
 * Tracks the timeouts after which a suspected member is marked {@code GONE} and the tombstone of a {@code GONE} member
 * is removed. Not thread-safe.
 *
 * <p>A member that responds neither to direct nor to indirect probes becomes {@code SUSPECT}, which is spread to all
 * members. It can refute the suspicion with a higher incarnation; if it does not within the suspicion timeout, it is
 * {@code GONE}. The record of a {@code GONE} member is retained as a tombstone, so that a delayed older record does not
 * add the member again.
 */
public final class FailureDetector {
    private final TimeSource time;
    private final long suspicionTimeoutMillis;
    private final long tombstoneRetentionMillis;
    private final Map<String, Timeout> suspicions = new HashMap<>();
    private final Map<String, Timeout> tombstones = new HashMap<>();

    private record Timeout(long incarnation, Deadline deadline) {}

    /**
     * Creates a detector without suspicions or tombstones.
     *
     * @param suspicionTimeoutMillis how long a suspected member has to refute the suspicion
     * @param tombstoneRetentionMillis how long the record of a {@code GONE} member is retained
     */
    public FailureDetector(TimeSource time, long suspicionTimeoutMillis, long tombstoneRetentionMillis) {
        this.time = time;
        this.suspicionTimeoutMillis = suspicionTimeoutMillis;
        this.tombstoneRetentionMillis = tombstoneRetentionMillis;
    }

    /**
     * Handles a failed probe: {@code member} responded neither directly nor through other members.
     *
     * @return the record to merge and spread; empty if the member's state does not change
     */
    public Optional<Member> probeFailed(Member member) {
        return switch (member.state()) {
            case GONE, SUSPECT -> Optional.empty();
            // A leaving member is sent no requests, so other members need no record until it is marked GONE.
            case LEAVING -> {
                startSuspicion(member);
                yield Optional.empty();
            }
            case STARTING, UP -> Optional.of(member.withState(Member.State.SUSPECT));
        };
    }

    /** Starts or cancels timeouts after the record of a member changed to {@code member}. */
    public void recordChanged(Member member) {
        String instance = member.instance();
        switch (member.state()) {
            case SUSPECT -> {
                tombstones.remove(instance);
                startSuspicion(member);
            }
            case GONE -> {
                suspicions.remove(instance);
                tombstones.putIfAbsent(
                        instance,
                        new Timeout(member.incarnation(), Deadline.afterMillis(time, tombstoneRetentionMillis)));
            }
            case STARTING, UP, LEAVING -> {
                suspicions.remove(instance);
                tombstones.remove(instance);
            }
        }
    }

    private void startSuspicion(Member member) {
        Timeout existing = suspicions.get(member.instance());
        if (existing == null || existing.incarnation() < member.incarnation()) {
            suspicions.put(
                    member.instance(),
                    new Timeout(member.incarnation(), Deadline.afterMillis(time, suspicionTimeoutMillis)));
        }
    }

    /**
     * Removes the suspicions whose timeout has passed and returns their members as {@code GONE} records to merge and
     * spread.
     *
     * <p>Returns nothing while more than half of the members that are not {@code GONE} are under suspicion: a daemon
     * isolated by a network partition would otherwise mark all other members {@code GONE} and have none left to send
     * requests to. Suspected members are still used when there is no other member.
     */
    public List<Member> removeExpiredSuspicions(MembershipView view) {
        long notGone =
                view.all().stream().filter(m -> m.state() != Member.State.GONE).count();
        if (suspicions.size() * 2L > notGone) {
            return List.of();
        }
        List<Member> gone = new ArrayList<>();
        Iterator<Map.Entry<String, Timeout>> iterator = suspicions.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<String, Timeout> entry = iterator.next();
            if (!entry.getValue().deadline().isPast(time)) {
                continue;
            }
            iterator.remove();
            view.find(entry.getKey())
                    .filter(m -> m.incarnation() == entry.getValue().incarnation())
                    .ifPresent(m -> gone.add(m.withState(Member.State.GONE)));
        }
        return gone;
    }

    /** Removes the tombstones whose retention period has passed and returns the instance names of their members. */
    public List<String> removeExpiredTombstones() {
        List<String> instances = new ArrayList<>();
        tombstones.entrySet().removeIf(entry -> {
            boolean expired = entry.getValue().deadline().isPast(time);
            if (expired) {
                instances.add(entry.getKey());
            }
            return expired;
        });
        return instances;
    }

    /**
     * Returns the incarnation with which a daemon refutes a record about itself that it received from another daemon.
     *
     * @param self the daemon's own record
     * @param reported the received record
     * @return the daemon's new incarnation, higher than the reported one; empty if there is nothing to refute
     */
    public static OptionalLong refutingIncarnation(Member self, Member reported) {
        boolean hasHigherIncarnation = reported.incarnation() > self.incarnation();
        boolean isReportedFailed = reported.incarnation() == self.incarnation()
                && (reported.state() == Member.State.SUSPECT || reported.state() == Member.State.GONE)
                && reported.state().compareTo(self.state()) > 0;
        return hasHigherIncarnation || isReportedFailed
                ? OptionalLong.of(reported.incarnation() + 1)
                : OptionalLong.empty();
    }
}

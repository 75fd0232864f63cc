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
 * Decides when a member is suspected, given up and forgotten; for one thread.
 *
 * <p>A member that answers neither directly nor through others is suspected, which everybody hears of; it has the
 * suspicion's timeout to refute by a higher incarnation, and is gone after it. A record of a member gone is kept for a
 * while, so that late news of it does not bring it back.
 */
public final class FailureDetector {
    private final TimeSource time;
    private final long suspicionTimeoutMillis;
    private final long tombstoneRetentionMillis;
    private final Map<String, Timeout> suspicions = new HashMap<>();
    private final Map<String, Timeout> tombstones = new HashMap<>();

    private record Timeout(long incarnation, Deadline deadline) {}

    /**
     * Nothing suspected.
     *
     * @param suspicionTimeoutMillis how long a suspected member has to refute
     * @param tombstoneRetentionMillis how long a member gone is remembered
     */
    public FailureDetector(TimeSource time, long suspicionTimeoutMillis, long tombstoneRetentionMillis) {
        this.time = time;
        this.suspicionTimeoutMillis = suspicionTimeoutMillis;
        this.tombstoneRetentionMillis = tombstoneRetentionMillis;
    }

    /**
     * A probe of {@code member} failed in every way.
     *
     * @return the record to merge and spread; empty if nothing is to be told
     */
    public Optional<Member> probeFailed(Member member) {
        return switch (member.state()) {
            case GONE, SUSPECT -> Optional.empty();
            // It takes no work already, so no one need be told until it is given up.
            case LEAVING -> {
                startSuspicion(member);
                yield Optional.empty();
            }
            case STARTING, UP -> Optional.of(member.withState(Member.State.SUSPECT));
        };
    }

    /** A member's record changed to {@code member}. */
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
                        instance, new Timeout(member.incarnation(), Deadline.afterMillis(time, tombstoneRetentionMillis)));
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
                    member.instance(), new Timeout(member.incarnation(), Deadline.afterMillis(time, suspicionTimeoutMillis)));
        }
    }

    /**
     * The members to give up now, as records to merge and spread.
     *
     * <p>None while more than half of those not gone are suspected: a daemon cut off from the others would otherwise
     * give up everybody and have nobody left to send requests to. The suspected are still used when no other is left.
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

    /** The members whose tombstones may be dropped now. */
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
     * What a daemon answers to others' word about itself.
     *
     * @return the incarnation to go on with; empty if nothing need be refuted
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

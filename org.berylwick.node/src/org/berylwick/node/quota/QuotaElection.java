package org.berylwick.node.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides for which organisations this node is the quota server, from the beats of the other readers.
 *
 * <p>A reader votes for the first node by hash among the readers that it hears. This node may grant permits while a
 * majority votes for it in beats that echo a recent clock of its own; a reader gives up another one only after a longer
 * time without a beat, so that two nodes with a majority do not overlap.
 */
final class QuotaElection {
    /** Time between two beats. */
    static final long BEAT_NANOS = 200_000_000L;
    /** How long a vote counts, from the time of the clock that it echoes. */
    static final long LEASE_NANOS = 1_000_000_000L;
    /** Time without a beat after which a reader is given up. */
    static final long GIVE_UP_NANOS = 1_100_000_000L;

    private final String ownIp;
    private final Map<String, Heard> heardByReader = new HashMap<>();
    private List<String> readers = List.of();
    private Set<String> aliveBefore = Set.of();
    private long bucketsFillFrom;

    /** The latest beat of a reader. */
    private record Heard(long at, long clock, long ownClockEchoed, Set<String> alive) {}

    /**
     * @param ownIp address of this node
     * @param now start of the process
     */
    QuotaElection(String ownIp, long now) {
        this.ownIp = ownIp;
        this.bucketsFillFrom = now;
    }

    /** Updates the set of readers, and which of them are alive. */
    void update(List<String> currentReaders, long now) {
        boolean otherReaders = !currentReaders.equals(readers);
        if (otherReaders) {
            readers = List.copyOf(currentReaders);
            heardByReader.keySet().retainAll(readers);
        }
        Set<String> alive = new HashSet<>(aliveReaders(now));
        if (alive.equals(aliveBefore)) {
            return;
        }
        // A reader that was given up has lost its majority before; otherwise the former quota server may still have it.
        boolean onlyGivenUp = !otherReaders && aliveBefore.containsAll(alive);
        bucketsFillFrom = Math.max(bucketsFillFrom, onlyGivenUp ? now : now + LEASE_NANOS);
        aliveBefore = alive;
    }

    boolean isReader() {
        return readers.contains(ownIp);
    }

    List<String> readers() {
        return readers;
    }

    /** From when the bucket of an organisation fills that this node is the quota server of from now on. */
    long bucketsFillFrom() {
        return bucketsFillFrom;
    }

    private List<String> aliveReaders(long now) {
        List<String> alive = new ArrayList<>();
        for (String reader : readers) {
            Heard heard = heardByReader.get(reader);
            if (reader.equals(ownIp) || heard != null && now - heard.at() < GIVE_UP_NANOS) {
                alive.add(reader);
            }
        }
        return alive;
    }

    /** Returns the beat to send to the other readers. */
    QuotaMessage.Beat beat(long now) {
        Map<String, Long> echoes = new HashMap<>();
        for (String reader : aliveReaders(now)) {
            if (!reader.equals(ownIp)) {
                echoes.put(reader, heardByReader.get(reader).clock());
            }
        }
        return new QuotaMessage.Beat(now, echoes);
    }

    /** Processes the beat of another node; those of nodes that are no readers here do not count. */
    void onBeat(String sender, QuotaMessage.Beat beat, long now) {
        if (!readers.contains(sender)) {
            return;
        }
        Set<String> alive = new HashSet<>(beat.echoes().keySet());
        alive.add(sender);
        Long echoed = beat.echoes().get(ownIp);
        long ownClockEchoed = echoed == null ? now - LEASE_NANOS : Math.min(now, echoed);
        heardByReader.put(sender, new Heard(now, beat.clock(), ownClockEchoed, alive));
        update(readers, now);
    }

    /** Returns the reader that this node votes for. */
    Optional<String> vote(String organisation, long now) {
        return RendezvousOrder.first(organisation, aliveReaders(now));
    }

    /** Whether a majority of the readers votes for this node. */
    boolean isServer(String organisation, long now) {
        if (!isReader() || !vote(organisation, now).equals(Optional.of(ownIp))) {
            return false;
        }
        int votes = 1;
        for (String reader : readers) {
            Heard heard = heardByReader.get(reader);
            boolean fresh = heard != null && now - heard.ownClockEchoed() < LEASE_NANOS;
            if (fresh
                    && RendezvousOrder.first(organisation, heard.alive())
                            .orElseThrow()
                            .equals(ownIp)) {
                votes++;
            }
        }
        return votes * 2 > readers.size();
    }
}

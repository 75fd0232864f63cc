package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.berylwick.bench.emulate.VirtualClock;
import org.berylwick.node.lib.BackendState;
import org.berylwick.node.lib.HeaderNames;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.member.MemberTable;
import org.berylwick.node.member.NodeState;
import org.berylwick.node.quarantine.HoldLog;
import org.berylwick.node.quarantine.Quarantine;
import org.berylwick.node.transport.VmLink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests which nodes are compared as candidates for a request. */
class CandidateSamplerTest {
    private static final HeaderNames HEADER_NAMES = new HeaderNames(
            "id",
            "deadline",
            "signature",
            "target",
            "load",
            "not-run",
            "caller",
            "instance",
            "limit",
            "leaving",
            "x-key",
            "x-organisation");
    private static final String SERVICE = "work";
    private static final long SILENCE_THRESHOLD_NANOS = 2_000_000_000L;
    private static final int SAMPLES = 4_000;

    private final VirtualClock clock = new VirtualClock();
    private final EventLog log = new EventLog("test", OutputStream.nullOutputStream());
    private final MemberTable memberTable = new MemberTable(address -> null, (member, cause) -> {});
    private final Owner owner = new Owner(
            clock,
            address -> null,
            HEADER_NAMES,
            VmLink.of(1_000, clock),
            SILENCE_THRESHOLD_NANOS,
            new Counters(),
            log,
            () -> {},
            new Quarantine(clock::now, new HoldLog(new Instruments(new Counters(), log))),
            Map::of);
    private final Random random = new Random(1);
    private final CandidateSampler sampler = new CandidateSampler(
            "zone-a",
            "region-1",
            Map.of("zone-a", "region-1", "zone-b", "region-1", "zone-c", "region-2"),
            memberTable,
            () -> SILENCE_THRESHOLD_NANOS,
            owner,
            VersionChoice.NONE,
            random::nextDouble);

    @AfterEach
    void close() {
        log.close();
    }

    private void addMembers(String zone, int from, int to) {
        for (int i = from; i < to; i++) {
            NodeState state = new NodeState(
                    1,
                    1,
                    zone,
                    100,
                    1,
                    true,
                    false,
                    SERVICE,
                    "i-" + i,
                    BackendState.READY,
                    0,
                    new OwnerLoad(0, 0, 8, 1),
                    List.of());
            memberTable.update("10.0.0." + i, state, clock.now());
        }
    }

    private Map<Candidate.Distance, Long> countByDistance(Set<String> excludedKeys) {
        return sampler.candidatesFor(SERVICE, excludedKeys, clock.now()).stream()
                .collect(Collectors.groupingBy(Candidate::distance, Collectors.counting()));
    }

    /** In a large fleet, the sample has two members of the own zone, two of the region, and one of another region. */
    @Test
    void samplesAFewMembersOfEachDistance() {
        addMembers("zone-a", 0, 20);
        addMembers("zone-b", 20, 60);
        addMembers("zone-c", 60, 90);
        assertEquals(
                Map.of(
                        Candidate.Distance.SAME_ZONE,
                        2L,
                        Candidate.Distance.SAME_REGION,
                        2L,
                        Candidate.Distance.OTHER_REGION,
                        1L),
                countByDistance(Set.of()));
    }

    /** Members of a zone are sampled equally often, so that nodes do not keep comparing the same few. */
    @Test
    void samplesMembersUniformly() {
        addMembers("zone-a", 0, 10);
        Map<String, Integer> sampleCounts = new HashMap<>();
        for (int i = 0; i < SAMPLES; i++) {
            sampler.candidatesFor(SERVICE, Set.of(), clock.now())
                    .forEach(c -> sampleCounts.merge(c.key(), 1, Integer::sum));
        }
        assertEquals(10, sampleCounts.size());
        int expected = SAMPLES * 2 / 10;
        sampleCounts.forEach((key, count) -> assertTrue(
                count > expected * 0.85 && count < expected * 1.15, key + " was sampled " + count + " times"));
    }

    /** Members of other zones complete the sample if the own zone has too few. */
    @Test
    void samplesOtherZonesWhenOwnZoneHasTooFewMembers() {
        addMembers("zone-a", 0, 1);
        addMembers("zone-b", 1, 30);
        assertEquals(
                Map.of(Candidate.Distance.SAME_ZONE, 1L, Candidate.Distance.SAME_REGION, 3L),
                countByDistance(Set.of()));
    }

    /** After half of a fleet was killed, the dead members are not sampled as long as a single live one remains. */
    @Test
    void samplesSilentMembersOnlyIfAllAreSilent() {
        addMembers("zone-a", 0, 20);
        clock.runUntil(2 * SILENCE_THRESHOLD_NANOS);
        addMembers("zone-b", 20, 21);
        List<Candidate> sampled = sampler.candidatesFor(SERVICE, Set.of(), clock.now());
        assertEquals(List.of("10.0.0.20"), sampled.stream().map(Candidate::key).toList());
        assertFalse(sampled.get(0).suspect());
        List<Candidate> remaining = sampler.candidatesFor(SERVICE, Set.of("10.0.0.20"), clock.now());
        assertEquals(2, remaining.size());
        assertTrue(remaining.stream().allMatch(Candidate::suspect));
    }

    /** A node that refused a request is not tried again. */
    @Test
    void doesNotSampleExcludedMembers() {
        addMembers("zone-a", 0, 3);
        Set<String> excludedKeys = Set.of("10.0.0.0", "10.0.0.2");
        List<Candidate> sampled = sampler.candidatesFor(SERVICE, excludedKeys, clock.now());
        assertEquals(List.of("10.0.0.1"), sampled.stream().map(Candidate::key).toList());
        assertEquals(List.of(), sampler.candidatesFor("another", Set.of(), clock.now()));
    }
}

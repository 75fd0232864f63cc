package org.berylwick.internal.version;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.berylwick.internal.version.FirstVersionDecision.Rules;
import org.berylwick.internal.version.FirstVersionDecision.Source;
import org.berylwick.internal.version.FirstVersionDecision.Step;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Place;
import org.berylwick.lib.VersionId;
import org.berylwick.testing.ManualTimeSource;
import org.junit.jupiter.api.Test;

/** When a replaced daemon, which remembers nothing, may serve. */
class FirstVersionDecisionTest {
    private static final Duration LISTENED = Duration.ofSeconds(3);

    private final ManualTimeSource time = new ManualTimeSource();
    private final FirstVersionDecision decision = new FirstVersionDecision(Rules.DEFAULT, time);

    private static VersionId version(long number) {
        return number == 0 ? VersionId.NONE : new VersionId(number, Digest.of(new byte[] {(byte) number}));
    }

    private static Place zone(String name) {
        return new Place("ncr", name);
    }

    @Test
    void storesHeadIsInstalledAndThenServed() {
        decision.heardStore(version(7));
        assertEquals(new Step.Install(version(7), new Source.Store()), decision.decide(VersionId.NONE));
        assertEquals(new Step.Serve(), decision.decide(version(7)));
    }

    @Test
    void peersOfOneZoneAreNotEnough() {
        // The store is out and this zone was cut off from the others before version 8 was accepted. All its
        // daemons say 7. The predecessor of this daemon ran in another place and had served 8.
        for (int i = 0; i < 10; i++) {
            decision.heardPeer("makati-" + i, zone("makati"), version(7));
        }
        time.advance(LISTENED);
        assertInstanceOf(Step.Wait.class, decision.decide(VersionId.NONE));
        decision.heardPeer("pasig-0", zone("pasig"), version(8));
        assertEquals(new Step.Install(version(8), new Source.Peer("pasig-0")), decision.decide(VersionId.NONE));
        assertEquals(new Step.Serve(), decision.decide(version(8)));
    }

    @Test
    void fewPeersAreNotEnoughNorIsAShortWhile() {
        decision.heardPeer("makati-0", zone("makati"), version(7));
        decision.heardPeer("pasig-0", zone("pasig"), version(7));
        time.advance(LISTENED);
        assertInstanceOf(Step.Wait.class, decision.decide(VersionId.NONE));
        FirstVersionDecision early = new FirstVersionDecision(Rules.DEFAULT, time);
        early.heardPeer("makati-0", zone("makati"), version(7));
        early.heardPeer("pasig-0", zone("pasig"), version(7));
        early.heardPeer("pasig-1", zone("pasig"), version(7));
        assertInstanceOf(Step.Wait.class, early.decide(VersionId.NONE));
        time.advance(LISTENED);
        assertInstanceOf(Step.Install.class, early.decide(VersionId.NONE));
    }

    @Test
    void peerThatIsAheadOfTheStoreIsBelieved() {
        // The store answers from a lagging replica. What a peer has in force was accepted once.
        decision.heardStore(version(7));
        decision.heardPeer("pasig-0", zone("pasig"), version(8));
        assertEquals(new Step.Install(version(8), new Source.Peer("pasig-0")), decision.decide(VersionId.NONE));
        assertEquals(new Step.Install(version(8), new Source.Peer("pasig-0")), decision.decide(version(7)));
    }

    @Test
    void storeThatShowsAnOlderHeadThanBeforeChangesNothing() {
        decision.heardStore(version(8));
        decision.heardStore(version(7));
        assertEquals(new Step.Install(version(8), new Source.Store()), decision.decide(VersionId.NONE));
    }

    @Test
    void emptyStoreIsServedAsEmpty() {
        decision.heardStore(VersionId.NONE);
        assertEquals(new Step.Serve(), decision.decide(VersionId.NONE));
    }

    @Test
    void nothingHeardMeansWaiting() {
        time.advance(Duration.ofHours(1));
        assertInstanceOf(Step.Wait.class, decision.decide(VersionId.NONE));
    }

    @Property(tries = 2_000, seed = "20261206")
    void whateverWasHeardServingIsOnTheNewestOfIt(@ForAll long seed) {
        Random random = new Random(seed);
        ManualTimeSource clock = new ManualTimeSource();
        FirstVersionDecision d = new FirstVersionDecision(Rules.DEFAULT, clock);
        long newest = 0;
        boolean store = false;
        VersionId inForce = VersionId.NONE;
        for (int i = 0; i < 20; i++) {
            clock.advance(Duration.ofMillis(random.nextInt(400)));
            int number = random.nextInt(9);
            if (random.nextInt(10) == 0) {
                store = true;
                d.heardStore(version(number));
            } else {
                number++;
                d.heardPeer("i" + random.nextInt(5), zone("z" + random.nextInt(3)), version(number));
            }
            newest = Math.max(newest, number);
            switch (d.decide(inForce)) {
                case Step.Install(VersionId v, Source ignored) -> {
                    assertTrue(v.isNewerThan(inForce), v + " would replace " + inForce);
                    assertEquals(newest, v.number());
                    inForce = v;
                }
                case Step.Serve() -> assertEquals(newest, inForce.number());
                case Step.Wait ignored -> assertTrue(!store, "waits though the store told");
            }
        }
    }
}

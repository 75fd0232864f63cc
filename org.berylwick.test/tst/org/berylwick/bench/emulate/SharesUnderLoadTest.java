package org.berylwick.bench.emulate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.berylwick.bench.emulate.RequestKind.Millis;
import org.berylwick.bench.emulate.RequestKind.Work;
import org.berylwick.node.lib.OrganisationTag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Organisations that share a service of twelve backend servers, through the decisions of entry nodes and owners. */
class SharesUnderLoadTest {
    private static final int ORGANISATIONS = 20;
    private static final int HEAVY_FACTOR = 6;
    private static final String HEAVY = "o0";
    private static final int SERVERS = 12;
    private static final int SLOTS = 6;
    private static final long SEED = 1;
    private static final double SECONDS = 24;

    /** Orders have the more urgent priority. */
    private static Deployment deployment(double load) {
        List<Deployment.Server> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new Deployment.Server("a", "desk", SLOTS, 1));
        }
        Work work = new Work(120, 0.4, 0.01, 3);
        List<RequestKind> kinds = List.of(
                RequestKind.read("lookup", "desk", 400 * load, work, new Millis(400, 1_200)),
                RequestKind.order("order", "desk", 200 * load, work, new Millis(600, 1_600)));
        return new Deployment(List.of(new Deployment.Zone("a", 1)), servers, kinds, 0.9, 8, 0.2, 60);
    }

    /** Plays a load, of which the first organisation sends so many times as much as each of the others. */
    private static Emulation play(double load, int heavyFactor, boolean tagged, boolean returnsAtOnce) {
        int parts = ORGANISATIONS - 1 + heavyFactor;
        Emulation e = new Emulation(deployment(load * parts / ORGANISATIONS), SEED);
        Random random = new Random(SEED);
        e.organisations(() -> {
            int part = random.nextInt(parts);
            String name = "o" + Math.max(0, part - heavyFactor + 1);
            return tagged ? new OrganisationTag(name, OrganisationTag.NO_PRIORITY) : OrganisationTag.NONE;
        });
        e.returnAtOnce(organisation -> returnsAtOnce && organisation.name().equals(HEAVY));
        e.run(SECONDS);
        return e;
    }

    private static double othersInTime(Emulation e) {
        double sum = 0;
        for (int i = 1; i < ORGANISATIONS; i++) {
            sum += e.outcomes().ofOrganisation("o" + i).inTimeShare();
        }
        return sum / (ORGANISATIONS - 1);
    }

    private static double inTime(Emulation e) {
        Outcomes.Tally lookups = e.outcomes().of("lookup");
        Outcomes.Tally orders = e.outcomes().of("order");
        double inTime = lookups.inTimeShare() * lookups.asked() + orders.inTimeShare() * orders.asked();
        return inTime / (lookups.asked() + orders.asked());
    }

    /** Guards against equal organisations being served less because they are told apart. */
    @ParameterizedTest
    @ValueSource(doubles = {0.8, 1.0, 1.3, 2})
    void equalOrganisationsAreServedAsOne(double load) {
        try (Emulation with = play(load, 1, true, false);
                Emulation without = play(load, 1, false, false)) {
            assertTrue(inTime(with) > inTime(without) - 0.02, () -> inTime(with) + " after " + inTime(without));
        }
    }

    /**
     * Guards against the others paying for one organisation, which reaches all entry nodes, against it starving, and
     * against its callers gaining by returning at once.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.8, 1.0, 1.3, 2})
    void othersAreServedAsWithoutTheOverload(double load) {
        try (Emulation usual = play(load, 1, true, false);
                Emulation overload = play(load, HEAVY_FACTOR, true, false);
                Emulation untagged = play(load, HEAVY_FACTOR, false, false);
                Emulation returning = play(load, HEAVY_FACTOR, true, true)) {
            double heavy = overload.outcomes().ofOrganisation(HEAVY).inTimeShare();
            assertEquals(othersInTime(usual), othersInTime(overload), 0.02, "in time of the others");
            assertTrue(heavy >= 0.25 * inTime(overload), heavy + " of the heavy one, " + inTime(overload) + " of all");
            assertTrue(
                    inTime(overload) > inTime(untagged) - 0.02,
                    () -> "of all " + inTime(overload) + " after " + inTime(untagged));
            double heavyReturning = returning.outcomes().ofOrganisation(HEAVY).inTimeShare();
            assertTrue(
                    heavyReturning <= heavy + 0.02, heavyReturning + " of callers that return at once, not " + heavy);
            assertEquals(othersInTime(usual), othersInTime(returning), 0.02, "in time, while some return at once");
            double lookups = overload.outcomes().of("lookup").inTimeShare();
            double orders = overload.outcomes().of("order").inTimeShare();
            assertTrue(orders >= lookups, orders + " of the more urgent orders, " + lookups + " of lookups");
        }
    }
}

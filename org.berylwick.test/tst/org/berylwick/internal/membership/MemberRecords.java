package org.berylwick.internal.membership;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;

/** Creates member records for tests. */
final class MemberRecords {
    private MemberRecords() {}

    static Member record(String instance, Member.State state, long incarnation, long version) {
        return new Member(
                instance,
                "web",
                HostPort.fromString("10.0.0.1:80"),
                new Place("r", "z"),
                Labels.EMPTY,
                state,
                incarnation,
                12,
                version,
                version);
    }

    /**
     * Generates records of three instances, with so few different values that equal and conflicting records are
     * frequent.
     */
    static Arbitrary<Member> anyRecord() {
        return Combinators.combine(
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.of(Member.State.class),
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.longs().between(0, 3),
                        Arbitraries.integers().between(1, 2))
                .as((instance, state, incarnation, version, slots) -> {
                    Member template = record(instance, state, incarnation, version);
                    return new Member(
                            instance,
                            template.service(),
                            template.address(),
                            template.place(),
                            template.labels(),
                            state,
                            incarnation,
                            slots,
                            version,
                            template.installedAtEpochMillis());
                });
    }

    static Arbitrary<List<Member>> recordLists() {
        return anyRecord().list().ofMaxSize(12);
    }
}

package org.berylwick.lib;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.berylwick.lib.Selector.Requirement;
import org.junit.jupiter.api.Test;

/** What selectors choose, and that their text form keeps their meaning. */
class SelectorTest {
    private static final Labels LABELS = new Labels(Map.of("tier", "gold", "city", "makati"));

    @Test
    void everyRequirementMustHold() {
        assertTrue(Selector.parse("tier = gold, city in (makati, pasig)").matches(LABELS));
        assertFalse(Selector.parse("tier = gold, city = pasig").matches(LABELS));
    }

    @Test
    void emptySelectorChoosesEverything() {
        assertTrue(Selector.parse("").matches(Labels.EMPTY));
    }

    @Test
    void notEqualsChoosesObjectsWithoutTheKey() {
        assertTrue(Selector.parse("legacy != yes").matches(LABELS));
        assertTrue(Selector.parse("!legacy, city").matches(LABELS));
        assertFalse(Selector.parse("tier notin (gold)").matches(LABELS));
    }

    @Test
    void unreadableRequirementIsNamed() {
        IllegalArgumentException e =
                assertThrows(IllegalArgumentException.class, () -> Selector.parse("tier = gold, city ~ x"));
        assertTrue(e.getMessage().contains("city ~ x"), e.getMessage());
    }

    @Property(seed = "1")
    void textFormReadsBackEqual(@ForAll("selectors") Selector selector) {
        assertEquals(selector, Selector.parse(selector.toString()));
    }

    @Provide
    Arbitrary<Selector> selectors() {
        Arbitrary<String> key = Arbitraries.of("tier", "city", "a.b/c");
        Arbitrary<Set<String>> values =
                Arbitraries.of("gold", "makati", "x-1").set().ofMinSize(1).ofMaxSize(3);
        Arbitrary<Requirement> requirement = Arbitraries.oneOf(
                key.flatMap(k -> values.map(v -> (Requirement) new Requirement.In(k, v))),
                key.flatMap(k -> values.map(v -> (Requirement) new Requirement.NotIn(k, v))),
                key.map(Requirement.Exists::new),
                key.map(Requirement.Absent::new));
        Arbitrary<List<Requirement>> requirements = requirement.list().ofMaxSize(4);
        return requirements.map(Selector::new);
    }
}

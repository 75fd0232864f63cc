package org.berylwick.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a mistyped share of extra requests stops the start instead of being guessed. */
class HedgeShareTest {
    @Test
    void readsShare() {
        assertEquals(0, HedgeShare.parse(Optional.empty()));
        assertEquals(0, HedgeShare.parse(Optional.of("0")));
        assertEquals(0.02, HedgeShare.parse(Optional.of("0.02")));
        assertEquals(0.2, HedgeShare.parse(Optional.of("0.2")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-0.01", "0.21", "2%", "NaN", "on"})
    void namesInvalidValue(String text) {
        IllegalArgumentException error =
                assertThrows(IllegalArgumentException.class, () -> HedgeShare.parse(Optional.of(text)));
        assertTrue(error.getMessage().contains("BERYLWICK_HEDGE_SHARE must be a number from 0 to 0.2"));
        assertTrue(error.getMessage().contains("\"" + text + "\""));
    }
}

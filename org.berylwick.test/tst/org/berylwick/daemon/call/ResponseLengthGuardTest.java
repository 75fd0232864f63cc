package org.berylwick.daemon.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.internal.invariant.Invariant;
import org.berylwick.internal.invariant.Invariants;
import org.junit.jupiter.api.Test;

/** Tests that a body whose length differs from the announced one fails instead of completing. */
class ResponseLengthGuardTest {
    private final Invariants invariants = new Invariants(new MetricRegistry());

    private final AtomicInteger errors = new AtomicInteger();

    private ResponseLengthGuard guardedBody(OptionalLong contentLength) {
        StreamMessage<HttpData> body = StreamMessage.of(HttpData.ofUtf8("abc"), HttpData.ofUtf8("de"));
        return new ResponseLengthGuard(
                "r-1", body, contentLength, invariants, (deliveredBytes, failure) -> errors.incrementAndGet());
    }

    @Test
    void bodyOfAnnouncedLengthCompletes() {
        assertEquals(2, guardedBody(OptionalLong.of(5)).collect().join().size());
        assertEquals(2, guardedBody(OptionalLong.empty()).collect().join().size());
        assertEquals(0, invariants.breaches(Invariant.OWN_WHOLE_ANSWER));
    }

    @Test
    void shorterAndLongerBodiesFail() {
        assertThrows(
                CompletionException.class,
                () -> guardedBody(OptionalLong.of(6)).collect().join());
        assertThrows(
                CompletionException.class,
                () -> guardedBody(OptionalLong.of(4)).collect().join());
        assertEquals(2, invariants.breaches(Invariant.OWN_WHOLE_ANSWER));
    }
}

package org.berylwick.node.call;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.berylwick.node.lib.SuspectReport;
import org.berylwick.node.transport.RequestBody;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Headers of another node with texts and numbers that no node writes. */
class PeerCodecTest {
    private static final long NOW = 1_000_000_000_000L;
    private static final List<String> FIELDS = List.of(
            "",
            "-1",
            "0",
            "1",
            "7",
            "2147483648",
            "9223372036854775807",
            "-9223372036854775808",
            "9223372036854775808",
            "1.5",
            "x",
            "answered",
            "lost",
            "refused",
            "BUSY",
            "true");

    private static String randomText(Random random, int maxFields) {
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(maxFields + 1); i >= 0; i--) {
            text.append(FIELDS.get(random.nextInt(FIELDS.size()))).append(i > 0 ? ";" : "");
        }
        return text.toString();
    }

    @Property(tries = 10_000, seed = "68")
    void headersAreDecodedOrRefused(@ForAll long seed) {
        Random random = new Random(seed);
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(Headers.OUTCOME, randomText(random, 12));
        headers.set(Headers.CRASH, randomText(random, 5));
        PeerCodec.decodeOutcome(headers, NOW);
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        head.headers().set(Headers.CALL, randomText(random, 11));
        head.headers().set(Headers.ORGANISATION, randomText(random, 2));
        head.headers().set(Headers.KNOWN_CRASHES, randomText(random, 1));
        PeerCodec.decodeCall(head, headers, RequestBody.of(io.netty.buffer.Unpooled.EMPTY_BUFFER), NOW);
    }

    /** Guards against a crash in the future, whose request is refused for years. */
    @ParameterizedTest
    @ValueSource(longs = {Long.MIN_VALUE, -1, 0, 14_000_000_000_000L, Long.MAX_VALUE})
    void crashOfAnyAgeLiesInThePast(long ageMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(Headers.OUTCOME, PeerCodec.encodeLost("ended"));
        headers.set(Headers.CRASH, "1;2;3;4;" + ageMillis);
        SuspectReport.Crashed crash = assertInstanceOf(
                        PeerCodec.Outcome.Lost.class,
                        PeerCodec.decodeOutcome(headers, NOW).orElseThrow())
                .loss()
                .crash()
                .orElseThrow();
        assertTrue(NOW - crash.at() >= 0, "age " + (NOW - crash.at()));
    }
}

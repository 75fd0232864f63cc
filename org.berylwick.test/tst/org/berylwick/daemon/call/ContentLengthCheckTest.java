package org.berylwick.daemon.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.StreamMessage;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

/** Verifies that a body whose length differs from its Content-Length ends with an error. */
class ContentLengthCheckTest {
    private static final HttpData BODY = HttpData.ofUtf8("abcde");

    private static StreamMessage<HttpData> checkedBody(HttpMethod method, HttpStatus status, long contentLength) {
        ResponseHeaders head =
                ResponseHeaders.builder(status).contentLength(contentLength).build();
        return ContentLengthCheck.wrap(method, head, StreamMessage.of(BODY));
    }

    private static int countParts(StreamMessage<HttpData> body) {
        return body.collect().join().size();
    }

    @Test
    void completeBodyPasses() {
        assertEquals(1, countParts(checkedBody(HttpMethod.GET, HttpStatus.OK, 5)));
    }

    @Test
    void bodyOfWrongLengthFails() {
        assertThrows(
                CompletionException.class,
                () -> countParts(checkedBody(HttpMethod.GET, HttpStatus.GATEWAY_TIMEOUT, 89)));
        assertThrows(CompletionException.class, () -> countParts(checkedBody(HttpMethod.GET, HttpStatus.OK, 4)));
    }

    @Test
    void contentLengthOfBodilessResponseIsNotChecked() {
        assertEquals(1, countParts(checkedBody(HttpMethod.HEAD, HttpStatus.OK, 89)));
        assertEquals(1, countParts(checkedBody(HttpMethod.GET, HttpStatus.NOT_MODIFIED, 89)));
        StreamMessage<HttpData> bodyWithoutContentLength =
                ContentLengthCheck.wrap(HttpMethod.GET, ResponseHeaders.of(HttpStatus.OK), StreamMessage.of(BODY));
        assertEquals(1, countParts(bodyWithoutContentLength));
    }
}

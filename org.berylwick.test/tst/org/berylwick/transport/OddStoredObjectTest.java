package org.berylwick.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.Server;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.berylwick.errors.StoreError;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Objects of another writer whose key or version is not one that this library writes. */
class OddStoredObjectTest {
    private static void writeFrame(DataOutputStream out, String key, String value) throws IOException {
        out.writeUTF(key);
        out.writeLong(5);
        out.writeBoolean(false);
        out.writeInt(value.length());
        out.writeBytes(value);
    }

    /** Guards against a list or watch that fails for good because of the key of one object in it. */
    @ParameterizedTest
    @ValueSource(strings = {"", "members/a b", "members//a", "members/é", "members/\u0000", "/"})
    void objectWithAnOddKeyCostsItselfAlone(String key) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            writeFrame(out, "members/a", "1");
            writeFrame(out, key, "22");
            writeFrame(out, "members/c", "333");
        }
        Result<List<String>, String> keys = ObjectFrames.decode(bytes.toByteArray())
                .map(objects -> objects.stream()
                        .map(o -> o.key() + "=" + new String(o.value()))
                        .toList());
        assertEquals(Result.ok(List.of("members/a=1", "members/c=333")), keys);
    }

    /** Guards against a key of many segments overflowing the stack. */
    @Test
    void longKeyIsRead() throws IOException {
        String key = "a/".repeat(20_000) + "a";
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        writeFrame(new DataOutputStream(bytes), key, "1");
        assertEquals(
                Result.ok(List.of(new ObjectKey(key))),
                ObjectFrames.decode(bytes.toByteArray())
                        .map(objects -> objects.stream().map(StoredObject::key).toList()));
    }

    /** Guards against bytes that end the thread of a duty. */
    @Property(tries = 2_000, seed = "68")
    void arbitraryBytesAreDecodedOrRefused(@ForAll byte[] bytes) {
        ObjectFrames.decode(bytes);
    }

    /** Guards against a version that is no number ending the thread that reads the object. */
    @ParameterizedTest
    @ValueSource(strings = {"\"x\"", "x", "\"\"", "W/\"3\"", "\"99999999999999999999\"", "\"1.5\""})
    void versionThatIsNoNumberIsAnError(String etag) {
        try (Server server = Server.builder()
                .http(0)
                .serviceUnder(
                        "/",
                        (ctx, request) -> HttpResponse.of(
                                ResponseHeaders.of(HttpStatus.OK, HttpHeaderNames.ETAG, etag), HttpData.ofUtf8("{}")))
                .build()) {
            server.start().join();
            URI uri = URI.create("http://127.0.0.1:" + server.activeLocalPort());
            try (HttpPlatformStore store = new HttpPlatformStore(uri, TimeSource.SYSTEM)) {
                Deadline deadline = Deadline.afterMillis(TimeSource.SYSTEM, 10_000);
                Result<Optional<StoredObject>, StoreError> read = store.get(new ObjectKey("drains/a"), deadline);
                assertInstanceOf(
                        StoreError.Malformed.class,
                        assertInstanceOf(Result.Err.class, read).error());
                Result<Long, StoreError> put =
                        store.put(new ObjectKey("drains/a"), new byte[0], new Precondition.None(), deadline);
                assertInstanceOf(
                        StoreError.OutcomeUnknown.class,
                        assertInstanceOf(Result.Err.class, put).error());
            }
        }
    }
}

package org.berylwick.transport;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.StoreEvent;
import org.berylwick.lib.Result;

/**
 * Many objects in one body: for each the key (length and modified UTF-8), the version (8 bytes), whether it is deleted
 * (1 byte), the value's length (4 bytes) and the value, all big-endian.
 */
public final class ObjectFrames {
    private static final EventLog EVENTS = new EventLog(ObjectFrames.class);

    private ObjectFrames() {}

    /** Writes {@code objects} in order. */
    public static byte[] encode(List<StoredObject> objects) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            for (StoredObject o : objects) {
                out.writeUTF(o.key().path());
                out.writeLong(o.version());
                out.writeBoolean(o.deleted());
                out.writeInt(o.value().length);
                out.write(o.value());
            }
        } catch (IOException e) {
            throw new UncheckedIOException("a stream in memory cannot fail", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads what {@link #encode} wrote; the error says what is wrong. An object whose key is invalid, which only
     * another program can have written, is left out.
     */
    public static Result<List<StoredObject>, String> decode(byte[] body) {
        List<StoredObject> objects = new ArrayList<>();
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body))) {
            while (in.available() > 0) {
                // Valid keys are ASCII, which modified UTF-8 leaves as it is.
                String key = new String(in.readNBytes(in.readUnsignedShort()), StandardCharsets.ISO_8859_1);
                long version = in.readLong();
                boolean deleted = in.readBoolean();
                int length = in.readInt();
                if (length < 0 || length > in.available()) {
                    return Result.err("a frame of " + length + " bytes in a body of " + body.length);
                }
                byte[] value = in.readNBytes(length);
                if (ObjectKey.isValid(key)) {
                    objects.add(new StoredObject(new ObjectKey(key), version, value, deleted));
                } else {
                    EVENTS.log(StoreEvent.OBJECT_SKIPPED, key.length(), version);
                }
            }
            return Result.ok(objects);
        } catch (IOException e) {
            return Result.err("cannot read frames: " + e);
        }
    }
}

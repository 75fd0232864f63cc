package org.berylwick.internal.version;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.lib.Snapshot;
import org.berylwick.lib.TimeSource;

/**
 * The version in force in this process.
 *
 * <p>It only ever rises, and it changes by one reference swap after the whole version was checked and compiled, so no
 * request sees part of a version. Any thread may read; installs are serialised.
 */
public final class InstalledVersion implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "installed-version";

    private final TimeSource time;
    private final List<Consumer<InForce>> listeners = new CopyOnWriteArrayList<>();
    private volatile InForce current = new InForce(Snapshot.NONE, Map.of(), new byte[0], 0);

    /**
     * A version in force with what it was made from.
     *
     * @param snapshot what requests pin
     * @param parts its content by digest, to serve to peers and to spare re-reading
     * @param manifestBytes its encoded manifest, empty before the first version
     * @param sinceEpochMillis when it came into force here
     */
    public record InForce(Snapshot snapshot, Map<Digest, byte[]> parts, byte[] manifestBytes, long sinceEpochMillis) {}

    /** What became of an install. */
    public sealed interface Install {
        /** It is in force now. */
        record Installed() implements Install {}

        /** The same or a newer version is in force; nothing changed. */
        record NotNewer() implements Install {}

        /** The content is not a whole, readable version; nothing changed. */
        record Damaged(String detail) implements Install {}
    }

    /** Nothing in force yet. */
    public InstalledVersion(TimeSource time) {
        this.time = time;
    }

    @Override
    public String name() {
        return NAME;
    }

    /** The version in force. */
    public InForce inForce() {
        return current;
    }

    /** The version in force, as requests use it. */
    public Snapshot snapshot() {
        return current.snapshot();
    }

    /** Is told of each version after it came into force, on the installing thread. */
    public void addListener(Consumer<InForce> listener) {
        listeners.add(listener);
    }

    /** Puts a version in force if it is newer than the one that is. */
    public synchronized Install install(VersionContent content) {
        if (!content.id().isNewerThan(current.snapshot().id())) {
            return new Install.NotNewer();
        }
        return switch (content.toSnapshot()) {
            case Result.Err<Snapshot, String>(String detail) -> new Install.Damaged(detail);
            case Result.Ok<Snapshot, String>(Snapshot snapshot) -> {
                current = new InForce(snapshot, content.parts(), content.manifestBytes(), time.epochMillis());
                listeners.forEach(l -> l.accept(current));
                yield new Install.Installed();
            }
        };
    }
}

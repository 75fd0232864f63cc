package org.berylwick.internal.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.internal.version.HistorySegment.Entry;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.PlatformStore;
import org.berylwick.transport.StoredObject;
import org.berylwick.transport.WatchBatch;

/**
 * The accepted versions as the platform's store keeps them.
 *
 * <p>Parts and manifests are written first under their content hashes, where a repeat or a crash between the writes
 * does no harm; then one conditional update of the head accepts the version. There is no version without its audit
 * entry, because the entry is in the manifest that the head names.
 */
public final class VersionRepository {
    /** The prefix that a watcher of versions watches. */
    public static final String HEAD_PREFIX = "config/head";

    static final ObjectKey HEAD = new ObjectKey(HEAD_PREFIX);

    /**
     * Segments read to recognise an operation: at least 512 versions, more than the 460 changes of a planned day, so
     * that a repeat is recognised for a day.
     */
    static final int OPERATION_SEGMENTS = 5;

    private static final String MANIFESTS = "config/manifest/";
    private static final String PARTS = "config/part/";
    private static final long FIRST_PAUSE_MILLIS = 20;

    private final PlatformStore store;
    private final ContentStore contents;
    private final HistoryIndex history;
    private final HeadUpdate headUpdate;

    /** A repository in {@code store}, which stays the caller's to close. */
    public VersionRepository(PlatformStore store) {
        this(store, TimeSource.SYSTEM, FIRST_PAUSE_MILLIS);
    }

    /**
     * A repository with its own clock.
     *
     * @param firstPauseMillis between repeats of a write of the head whose answer was lost, from the second repeat
     */
    public VersionRepository(PlatformStore store, TimeSource time, long firstPauseMillis) {
        this.store = store;
        this.contents = new ContentStore(store);
        this.history = new HistoryIndex(contents);
        this.headUpdate = new HeadUpdate(this, store, time, firstPauseMillis);
    }

    /**
     * What the store says is accepted.
     *
     * @param id the accepted version, {@link VersionId#NONE} if there is none yet
     * @param operationId the action that had it accepted
     * @param headVersion the head object's version in the store, 0 if there is none yet
     * @param history hexadecimal digest of the newest segment of the history, empty if there is none yet
     */
    public record AcceptedHead(VersionId id, String operationId, long headVersion, String history) {
        /** Before the first version. */
        static final AcceptedHead NONE = new AcceptedHead(VersionId.NONE, "", 0, "");
    }

    /**
     * An operation that is accepted.
     *
     * @param id the version that it made
     * @param earlier whether that was not this attempt but another with the same operation id
     */
    public record Acceptance(VersionId id, boolean earlier) {}

    /** Reads which version is accepted. */
    public Result<AcceptedHead, VersionError> readHead(Deadline deadline) {
        return store.get(HEAD, deadline)
                .mapError(VersionError::ofRead)
                .flatMap(found ->
                        found.map(VersionRepository::decodeHead).orElseGet(() -> Result.ok(AcceptedHead.NONE)));
    }

    /** Waits for a head newer than the store's revision {@code after}; empty if the deadline passed first. */
    public Result<Watched, VersionError> watchHead(long after, Deadline deadline) {
        return store.watch(HEAD_PREFIX, after, deadline)
                .mapError(VersionError::ofRead)
                .flatMap(VersionRepository::decodeWatched);
    }

    /**
     * What a watch of the head saw.
     *
     * @param revision where to go on from
     * @param head the newest head, if it changed
     */
    public record Watched(long revision, Optional<AcceptedHead> head) {}

    private static Result<Watched, VersionError> decodeWatched(WatchBatch batch) {
        // Another object whose key begins like that of the head is none of ours.
        List<StoredObject> changed =
                batch.changed().stream().filter(o -> o.key().equals(HEAD)).toList();
        if (changed.isEmpty() || changed.getLast().deleted()) {
            return Result.ok(new Watched(batch.revision(), Optional.empty()));
        }
        return decodeHead(changed.getLast()).map(h -> new Watched(batch.revision(), Optional.of(h)));
    }

    private static Result<AcceptedHead, VersionError> decodeHead(StoredObject object) {
        return ConfigurationCodec.decode(object.value(), Head.class)
                .map(h -> new AcceptedHead(h.id(), h.operationId(), object.version(), h.history()))
                .mapError(VersionError.Damaged::new);
    }

    /** Finds the version with a number in the history of {@code head}, 0 being the empty one; empty if not kept. */
    public Result<Optional<VersionId>, VersionError> find(AcceptedHead head, long number, Deadline deadline) {
        if (number < 0 || number > head.id().number()) {
            return Result.ok(Optional.empty());
        }
        if (number == 0) {
            return Result.ok(Optional.of(VersionId.NONE));
        }
        if (number == head.id().number()) {
            return Result.ok(Optional.of(head.id()));
        }
        return history.findNumber(head, number, deadline).map(found -> found.map(Entry::id));
    }

    /**
     * Finds the version that an operation had accepted, if that is in the history of {@code head}.
     *
     * <p>Looks at the last {@value HistorySegment#CAPACITY} versions four times over, at least; an older repeat is
     * taken for a new operation.
     *
     * @param after versions up to this number need not be looked at
     */
    public Result<Optional<VersionId>, VersionError> findAccepted(
            AcceptedHead head, String operationId, long after, Deadline deadline) {
        if (head.operationId().equals(operationId)) {
            return Result.ok(Optional.of(head.id()));
        }
        return history.findOperation(head, operationId, after, OPERATION_SEGMENTS, deadline)
                .map(found -> found.map(Entry::id));
    }

    /** Looks at every version after {@code after}, however many. */
    Result<Optional<Entry>, VersionError> findOperation(
            AcceptedHead head, String operationId, long after, Deadline deadline) {
        return history.findOperation(head, operationId, after, Integer.MAX_VALUE, deadline);
    }

    /** Reads a manifest by its digest. */
    public Result<byte[], VersionError> readManifest(Digest digest, Deadline deadline) {
        return contents.read(MANIFESTS, digest, deadline);
    }

    /** Reads the table of contents of a version. */
    public Result<Manifest, VersionError> readTable(VersionId id, Deadline deadline) {
        if (id.number() == 0) {
            return Result.ok(VersionContent.NONE.manifest());
        }
        return readManifest(id.digest(), deadline)
                .flatMap(bytes -> VersionContent.readManifest(id, bytes).mapError(VersionError.Damaged::new));
    }

    /**
     * Reads a whole version, taking from the store only what {@code known} lacks.
     *
     * @param known parts that the reader already holds, by digest
     */
    public Result<VersionContent, VersionError> read(VersionId id, Map<Digest, byte[]> known, Deadline deadline) {
        return readManifest(id.digest(), deadline)
                .flatMap(bytes -> VersionContent.readManifest(id, bytes)
                        .mapError(d -> (VersionError) new VersionError.Damaged(d))
                        .flatMap(manifest -> readParts(id, manifest, bytes, known, deadline)));
    }

    private Result<VersionContent, VersionError> readParts(
            VersionId id, Manifest manifest, byte[] manifestBytes, Map<Digest, byte[]> known, Deadline deadline) {
        Map<Digest, byte[]> parts = new HashMap<>();
        for (String hex : manifest.parts().values()) {
            Digest digest = new Digest(hex);
            byte[] held = known.get(digest);
            if (held != null) {
                parts.put(digest, held);
                continue;
            }
            switch (contents.read(PARTS, digest, deadline)) {
                case Result.Ok<byte[], VersionError>(byte[] content) -> parts.put(digest, content);
                case Result.Err<byte[], VersionError>(VersionError error) -> {
                    return Result.err(error);
                }
            }
        }
        return VersionContent.assemble(id, manifestBytes, parts).mapError(VersionError.Damaged::new);
    }

    /**
     * Has a version accepted on top of {@code base}.
     *
     * <p>An error other than {@link VersionError.Undecided} means that nothing was accepted, and that nothing of this
     * attempt can be later.
     *
     * @param base the head that the version was made from
     * @param baseContent the version that {@code base} names; its parts are in the store
     */
    public Result<Acceptance, VersionError> accept(
            AcceptedHead base, VersionContent baseContent, VersionContent content, Deadline deadline) {
        return history.newest(base, deadline).flatMap(segment -> {
            HistorySegment longer = segment.append(
                    base.history(), content.id(), content.manifest().audit().operationId());
            byte[] segmentBytes = ConfigurationCodec.encode(longer);
            Digest segmentDigest = Digest.of(segmentBytes);
            Optional<VersionError> failed = writeParts(baseContent, content, deadline)
                    .or(() -> contents.write(MANIFESTS, content.id().digest(), content.manifestBytes(), deadline))
                    .or(() -> contents.write(HistoryIndex.SEGMENTS, segmentDigest, segmentBytes, deadline));
            if (failed.isPresent()) {
                return Result.err(failed.get());
            }
            return updateHead(base, content, segmentDigest, deadline);
        });
    }

    private Optional<VersionError> writeParts(VersionContent base, VersionContent content, Deadline deadline) {
        for (Map.Entry<Digest, byte[]> part : content.parts().entrySet()) {
            if (base.parts().containsKey(part.getKey())) {
                continue;
            }
            Optional<VersionError> failed = contents.write(PARTS, part.getKey(), part.getValue(), deadline);
            if (failed.isPresent()) {
                return failed;
            }
        }
        return Optional.empty();
    }

    private Result<Acceptance, VersionError> updateHead(
            AcceptedHead base, VersionContent content, Digest segment, Deadline deadline) {
        String operationId = content.manifest().audit().operationId();
        Head head = new Head(content.id().number(), content.id().digest().hex(), operationId, segment.hex());
        Result<Acceptance, VersionError> result =
                headUpdate.run(new HeadUpdate.Write(base, content, ConfigurationCodec.encode(head)), deadline);
        if (result instanceof Result.Err<Acceptance, VersionError>(VersionError.Superseded ignored)) {
            // Both are this attempt's alone, since they carry its operation and time, and its base is gone for good.
            contents.remove(MANIFESTS, content.id().digest(), deadline);
            contents.remove(HistoryIndex.SEGMENTS, segment, deadline);
        }
        return result;
    }
}

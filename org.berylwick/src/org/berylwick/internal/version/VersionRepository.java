package org.berylwick.internal.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.berylwick.errors.StoreError;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.lib.VersionId;
import org.berylwick.transport.ObjectKey;
import org.berylwick.transport.PlatformStore;
import org.berylwick.transport.Precondition;
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

    private static final ObjectKey HEAD = new ObjectKey(HEAD_PREFIX);
    private static final String MANIFESTS = "config/manifest/";
    private static final String PARTS = "config/part/";

    private final PlatformStore store;

    /** A repository in {@code store}, which stays the caller's to close. */
    public VersionRepository(PlatformStore store) {
        this.store = store;
    }

    /**
     * What the store says is accepted.
     *
     * @param id the accepted version, {@link VersionId#NONE} if there is none yet
     * @param operationId the action that had it accepted
     * @param headVersion the head object's version in the store, 0 if there is none yet
     */
    public record AcceptedHead(VersionId id, String operationId, long headVersion) {}

    /** Reads which version is accepted. */
    public Result<AcceptedHead, VersionError> readHead(Deadline deadline) {
        return store.get(HEAD, deadline)
                .mapError(VersionError::ofRead)
                .flatMap(found -> found.map(VersionRepository::decodeHead)
                        .orElseGet(() -> Result.ok(new AcceptedHead(VersionId.NONE, "", 0))));
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
        List<StoredObject> changed = batch.changed();
        if (changed.isEmpty() || changed.getLast().deleted()) {
            return Result.ok(new Watched(batch.revision(), Optional.empty()));
        }
        return decodeHead(changed.getLast()).map(h -> new Watched(batch.revision(), Optional.of(h)));
    }

    private static Result<AcceptedHead, VersionError> decodeHead(StoredObject object) {
        return ConfigurationCodec.decode(object.value(), Head.class)
                .map(h -> new AcceptedHead(h.id(), h.operationId(), object.version()))
                .mapError(VersionError.Damaged::new);
    }

    /** Finds the version with a number in the history of {@code head}; empty if there is none. */
    public Result<Optional<VersionId>, VersionError> find(AcceptedHead head, long number, Deadline deadline) {
        if (number <= 0 || number > head.id().number()) {
            return Result.ok(Optional.empty());
        }
        VersionId at = head.id();
        VersionChain chain = new VersionChain(this, head);
        while (at.number() > number) {
            switch (chain.next(deadline)) {
                case Result.Ok<Optional<VersionChain.Link>, VersionError>(Optional<VersionChain.Link> link) -> {
                    Manifest manifest = link.orElseThrow().manifest();
                    at = new VersionId(manifest.number() - 1, new Digest(manifest.previousDigest()));
                }
                case Result.Err<Optional<VersionChain.Link>, VersionError>(VersionError error) -> {
                    return Result.err(error);
                }
            }
        }
        return Result.ok(Optional.of(at));
    }

    /** Reads a manifest by its digest. */
    public Result<byte[], VersionError> readManifest(Digest digest, Deadline deadline) {
        return readContent(MANIFESTS, digest, deadline);
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
            switch (readContent(PARTS, digest, deadline)) {
                case Result.Ok<byte[], VersionError>(byte[] content) -> parts.put(digest, content);
                case Result.Err<byte[], VersionError>(VersionError error) -> {
                    return Result.err(error);
                }
            }
        }
        return VersionContent.assemble(id, manifestBytes, parts).mapError(VersionError.Damaged::new);
    }

    private Result<byte[], VersionError> readContent(String prefix, Digest digest, Deadline deadline) {
        return store.get(new ObjectKey(prefix + digest.hex()), deadline)
                .mapError(VersionError::ofRead)
                .flatMap(found -> found.<Result<byte[], VersionError>>map(o -> Result.ok(o.value()))
                        .orElseGet(() -> Result.err(
                                new VersionError.Damaged("the store lacks " + prefix + digest.abbreviated()))));
    }

    /**
     * Has a version accepted on top of {@code base}.
     *
     * @param known digests of parts that are in the store already
     */
    public Result<AcceptedHead, VersionError> accept(
            AcceptedHead base, VersionContent content, Map<Digest, byte[]> known, Deadline deadline) {
        for (Map.Entry<Digest, byte[]> part : content.parts().entrySet()) {
            if (known.containsKey(part.getKey())) {
                continue;
            }
            Optional<VersionError> failed = writeContent(PARTS, part.getKey(), part.getValue(), deadline);
            if (failed.isPresent()) {
                return Result.err(failed.get());
            }
        }
        Optional<VersionError> failed =
                writeContent(MANIFESTS, content.id().digest(), content.manifestBytes(), deadline);
        if (failed.isPresent()) {
            return Result.err(failed.get());
        }
        return updateHead(base, content, deadline);
    }

    private Optional<VersionError> writeContent(String prefix, Digest digest, byte[] value, Deadline deadline) {
        ObjectKey key = new ObjectKey(prefix + digest.hex());
        // Content under its own hash is the same whoever wrote it, so a write that was answered
        // "exists already" is as good as one that succeeded.
        return switch (store.put(key, value, new Precondition.MustBeAbsent(), deadline)) {
            case Result.Ok<Long, StoreError> ignored -> Optional.empty();
            case Result.Err<Long, StoreError>(StoreError.PreconditionFailed ignored) -> Optional.empty();
            case Result.Err<Long, StoreError>(StoreError error) -> Optional.of(VersionError.ofRead(error));
        };
    }

    private Result<AcceptedHead, VersionError> updateHead(
            AcceptedHead base, VersionContent content, Deadline deadline) {
        String operationId = content.manifest().audit().operationId();
        byte[] value = ConfigurationCodec.encode(
                new Head(content.id().number(), content.id().digest().hex(), operationId));
        Precondition precondition = base.headVersion() == 0
                ? new Precondition.MustBeAbsent()
                : new Precondition.MustHaveVersion(base.headVersion());
        return switch (store.put(HEAD, value, precondition, deadline)) {
            case Result.Ok<Long, StoreError>(Long version) ->
                Result.ok(new AcceptedHead(content.id(), operationId, version));
            case Result.Err<Long, StoreError>(StoreError.OutcomeUnknown(String detail)) ->
                settle(content, operationId, detail, deadline);
            // A client below may have repeated the write, so "precondition failed" can be the echo of our own success.
            case Result.Err<Long, StoreError>(StoreError.PreconditionFailed ignored) ->
                settle(content, operationId, "precondition failed", deadline);
            case Result.Err<Long, StoreError>(StoreError error) -> Result.err(VersionError.ofRead(error));
        };
    }

    private Result<AcceptedHead, VersionError> settle(
            VersionContent content, String operationId, String detail, Deadline deadline) {
        return switch (readHead(deadline)) {
            case Result.Ok<AcceptedHead, VersionError>(AcceptedHead head)
            when head.id().equals(content.id()) -> Result.ok(head);
            case Result.Ok<AcceptedHead, VersionError> ignored -> Result.err(new VersionError.Superseded());
            case Result.Err<AcceptedHead, VersionError> ignored ->
                Result.err(new VersionError.Undecided(operationId, detail));
        };
    }
}

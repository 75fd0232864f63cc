package org.berylwick.internal.version;

import java.util.Optional;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;
import org.berylwick.lib.VersionId;

/** Walks the accepted versions from a head backwards, one manifest at a time; for one thread. */
public final class VersionChain {
    private final VersionRepository repository;
    private VersionId next;

    /** Begins at {@code head}. */
    public VersionChain(VersionRepository repository, AcceptedHead head) {
        this.repository = repository;
        this.next = head.id();
    }

    /**
     * One version of the chain.
     *
     * @param id which version
     * @param manifest its table of contents
     */
    public record Link(VersionId id, Manifest manifest) {}

    /** Reads the next older version; empty after the first version. An error leaves the position as it was. */
    public Result<Optional<Link>, VersionError> next(Deadline deadline) {
        if (next.number() == 0) {
            return Result.ok(Optional.empty());
        }
        VersionId id = next;
        return repository
                .readManifest(id.digest(), deadline)
                .flatMap(bytes -> VersionContent.readManifest(id, bytes).mapError(VersionError.Damaged::new))
                .map(manifest -> {
                    next = new VersionId(id.number() - 1, new Digest(manifest.previousDigest()));
                    return Optional.of(new Link(id, manifest));
                });
    }

    /** The number of the version read last, if there are older ones. */
    public Optional<Long> position() {
        return next.number() == 0 ? Optional.empty() : Optional.of(next.number() + 1);
    }
}

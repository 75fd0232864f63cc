package org.berylwick.internal.version;

import java.util.Optional;
import java.util.function.Function;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.internal.version.HistorySegment.Entry;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Result;

/** Finds accepted versions by operation or number through the history's segments. */
final class HistoryIndex {
    /** Prefix of the segments' keys in the store. */
    static final String SEGMENTS = "config/history/";

    private final ContentStore contents;

    /** An accepting writer needs the newest segment twice; under its hash it is the same at any time. */
    private volatile Read lastRead;

    private record Read(String digest, HistorySegment segment) {}

    HistoryIndex(ContentStore contents) {
        this.contents = contents;
    }

    /** Reads the segment that ends with {@code head}. */
    Result<HistorySegment, VersionError> newest(AcceptedHead head, Deadline deadline) {
        return head.id().number() == 0 ? Result.ok(HistorySegment.EMPTY) : read(head.history(), deadline);
    }

    private Result<HistorySegment, VersionError> read(String digest, Deadline deadline) {
        Read held = lastRead;
        if (held != null && held.digest().equals(digest)) {
            return Result.ok(held.segment());
        }
        return contents.read(SEGMENTS, new Digest(digest), deadline)
                .flatMap(bytes ->
                        ConfigurationCodec.decode(bytes, HistorySegment.class).mapError(VersionError.Damaged::new))
                .map(segment -> {
                    lastRead = new Read(digest, segment);
                    return segment;
                });
    }

    /**
     * Looks for the version that an operation had accepted.
     *
     * @param after versions up to this number need not be looked at
     * @param maxSegments read at most so many
     */
    Result<Optional<Entry>, VersionError> findOperation(
            AcceptedHead head, String operationId, long after, int maxSegments, Deadline deadline) {
        return find(head, s -> s.ofOperation(operationId), after, maxSegments, deadline);
    }

    /** Looks for the version with a number. */
    Result<Optional<Entry>, VersionError> findNumber(AcceptedHead head, long number, Deadline deadline) {
        return find(head, s -> s.ofNumber(number), number - 1, Integer.MAX_VALUE, deadline);
    }

    private Result<Optional<Entry>, VersionError> find(
            AcceptedHead head,
            Function<HistorySegment, Optional<Entry>> search,
            long after,
            int maxSegments,
            Deadline deadline) {
        if (head.id().number() <= after) {
            return Result.ok(Optional.empty());
        }
        Result<HistorySegment, VersionError> next = newest(head, deadline);
        for (int read = 1; ; read++) {
            if (!(next instanceof Result.Ok<HistorySegment, VersionError>(HistorySegment segment))) {
                return next.map(s -> Optional.empty());
            }
            Optional<Entry> found = search.apply(segment);
            boolean last = segment.older().isEmpty() || read >= maxSegments || startsAtOrBefore(segment, after + 1);
            if (found.isPresent() || last) {
                return Result.ok(found);
            }
            next = read(segment.older(), deadline);
        }
    }

    private static boolean startsAtOrBefore(HistorySegment segment, long number) {
        return !segment.entries().isEmpty() && segment.entries().getFirst().number() <= number;
    }
}

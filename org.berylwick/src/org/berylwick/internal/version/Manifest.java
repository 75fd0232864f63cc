package org.berylwick.internal.version;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.VersionId;

/**
 * The table of contents of one version; its digest names the version's whole content.
 *
 * @param number of the version, so that equal content accepted twice has two digests
 * @param previousDigest hexadecimal digest of the manifest of the version before, which makes the history a chain
 * @param ancestors abbreviated digests of the versions before, newest first, at most {@link #MAX_ANCESTORS}: lets a
 *     daemon that missed some versions see without a call that this one follows the one it holds
 * @param audit who had it accepted and why
 * @param parts hexadecimal content digest by object reference ({@code brand/makati-ads})
 */
public record Manifest(
        long number, String previousDigest, List<String> ancestors, AuditEntry audit, SortedMap<String, String> parts) {
    /** About three hours of changes at 460 a day, for 15 bytes each. */
    public static final int MAX_ANCESTORS = 64;

    /** Copies the list. */
    public Manifest {
        ancestors = List.copyOf(ancestors);
    }

    /** Whether this version follows {@code older}; empty if that is further back than the ancestors named here. */
    public Optional<Boolean> follows(VersionId older) {
        if (older.number() == 0) {
            return Optional.of(true);
        }
        long back = number - older.number();
        if (back == 1) {
            return Optional.of(previousDigest.equals(older.digest().hex()));
        }
        if (back <= 0) {
            return Optional.of(false);
        }
        return back > ancestors.size()
                ? Optional.empty()
                : Optional.of(
                        ancestors.get((int) back - 1).equals(older.digest().abbreviated()));
    }
}

package org.berylwick.api;

import org.berylwick.errors.VersionError;

/** Turns errors of reading versions into what results of commands say. */
final class ReadErrors {
    private ReadErrors() {}

    static String detail(VersionError error) {
        return switch (error) {
            case VersionError.StoreUnavailable(String detail, long ignored) -> detail;
            case VersionError.Damaged(String detail) -> detail;
            case VersionError.Undecided(String ignored, String detail) -> detail;
            case VersionError.Superseded ignored -> "another version was accepted first";
        };
    }

    static long retryAfterMillis(VersionError error) {
        return error instanceof VersionError.StoreUnavailable(String ignored, long retryAfterMillis)
                ? retryAfterMillis
                : 0;
    }
}

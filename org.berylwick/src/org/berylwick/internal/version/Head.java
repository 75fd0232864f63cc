package org.berylwick.internal.version;

import org.berylwick.lib.Digest;
import org.berylwick.lib.VersionId;

/**
 * The one object whose conditional update accepts a version.
 *
 * @param number of the accepted version
 * @param digest of its manifest, in hexadecimal
 * @param operationId the action that had it accepted, so that a writer whose answer was lost can recognise its own
 * @param history hexadecimal digest of the newest segment of the history, which ends with this version
 */
record Head(long number, String digest, String operationId, String history) {
    VersionId id() {
        return new VersionId(number, new Digest(digest));
    }
}

package org.berylwick.internal.version;

import java.util.SortedMap;
import org.berylwick.lib.AuditEntry;

/**
 * The table of contents of one version; its digest names the version's whole content.
 *
 * @param number of the version, so that equal content accepted twice has two digests
 * @param previousDigest hexadecimal digest of the manifest of the version before, which makes the history a chain
 * @param audit who had it accepted and why
 * @param parts hexadecimal content digest by object reference ({@code brand/makati-ads})
 */
public record Manifest(long number, String previousDigest, AuditEntry audit, SortedMap<String, String> parts) {}

package org.berylwick.internal.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.berylwick.lib.Member;

/**
 * 64-bit hashes that identify records on the wire.
 *
 * <p>In a table of 480 records, the probability that any two hashes collide is about 1 in 10^14.
 */
public final class MemberHash {
    private MemberHash() {}

    /** Hashes the instance name and the incarnation. */
    public static long ofIncarnation(Member member) {
        return ofText(member.instance() + '|' + member.incarnation());
    }

    /** Hashes the instance name, the incarnation and the state, but not the version in force. */
    public static long ofState(Member member) {
        return ofText(member.instance() + '|' + member.incarnation() + '|' + member.state());
    }

    /** Hashes the instance name, the incarnation and the version in force at the member. */
    public static long ofVersion(Member member) {
        return ofText(member.instance() + '|' + member.incarnation() + "|v" + member.version());
    }

    /** Returns the first 64 bits of the SHA-256 hash of {@code text}. */
    public static long ofText(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available; every Java platform must provide it", e);
        }
    }
}

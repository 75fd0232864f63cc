package org.berylwick.internal.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.berylwick.lib.Member;

/** Short hashes that stand for records on the wire; two of 480 records meet by chance once in 10^14 tables. */
public final class MemberHash {
    private MemberHash() {}

    /** Stands for one incarnation of an instance. */
    public static long ofIncarnation(Member member) {
        return ofText(member.instance() + '|' + member.incarnation());
    }

    /** Stands for a record's state, leaving out the version in force. */
    public static long ofState(Member member) {
        return ofText(member.instance() + '|' + member.incarnation() + '|' + member.state());
    }

    /** Stands for the version in force at a member. */
    public static long ofVersion(Member member) {
        return ofText(member.instance() + '|' + member.incarnation() + "|v" + member.version());
    }

    /** The first 64 bits of the SHA-256 of {@code text}. */
    public static long ofText(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

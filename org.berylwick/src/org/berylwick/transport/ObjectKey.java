package org.berylwick.transport;

import java.util.regex.Pattern;

/**
 * Names an object in the platform's store.
 *
 * @param path segments of letters, digits, dots, hyphens and underscores, joined by slashes
 */
public record ObjectKey(String path) implements Comparable<ObjectKey> {
    private static final Pattern VALID = Pattern.compile("[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)*");

    /** @throws IllegalArgumentException if the path has other characters or empty segments */
    public ObjectKey {
        if (!VALID.matcher(path).matches()) {
            throw new IllegalArgumentException("not an object key: " + path);
        }
    }

    @Override
    public int compareTo(ObjectKey other) {
        return path.compareTo(other.path);
    }

    @Override
    public String toString() {
        return path;
    }
}

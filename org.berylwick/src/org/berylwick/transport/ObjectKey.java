package org.berylwick.transport;

/**
 * Names an object in the platform's store.
 *
 * @param path segments of letters, digits, dots, hyphens and underscores, joined by slashes
 */
public record ObjectKey(String path) implements Comparable<ObjectKey> {
    /** @throws IllegalArgumentException if the path has other characters or empty segments */
    public ObjectKey {
        if (!isValid(path)) {
            throw new IllegalArgumentException("not an object key: " + path);
        }
    }

    /** Returns whether a path is valid. A regular expression would use stack for each segment. */
    static boolean isValid(String path) {
        boolean segmentIsEmpty = true;
        for (int i = 0; i < path.length(); i++) {
            char c = path.charAt(i);
            if (c == '/' ? segmentIsEmpty : !isSegmentCharacter(c)) {
                return false;
            }
            segmentIsEmpty = c == '/';
        }
        return !segmentIsEmpty;
    }

    private static boolean isSegmentCharacter(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-';
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

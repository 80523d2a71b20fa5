package magpiehub.store;

/**
 * A value and when it was written.
 *
 * @param value null if the key was removed: the removal is kept, or an older write would bring the key back
 * @param timestamp when it was written
 */
record VersionedValue(String value, LamportTimestamp timestamp) {
    /** Whether this value replaces another one; null stands for none. */
    boolean isNewerThan(VersionedValue other) {
        return other == null || timestamp.compareTo(other.timestamp) > 0;
    }
}

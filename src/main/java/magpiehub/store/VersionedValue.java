package magpiehub.store;

/**
 * A value with the timestamp of its write.
 *
 * @param value null for a tombstone: a removed key is kept, or an older write would restore it
 * @param timestamp the timestamp of the write
 */
record VersionedValue(String value, LamportTimestamp timestamp) {
    /** Whether this value replaces another one, which is null if there is none. */
    boolean isNewerThan(VersionedValue other) {
        return other == null || timestamp.compareTo(other.timestamp) > 0;
    }
}

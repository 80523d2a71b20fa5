package magpiehub.store;

import java.util.Comparator;

/**
 * A value with the timestamp of its write.
 *
 * @param value null for a tombstone: a removed key is kept, or an older write would restore it
 * @param timestamp the timestamp of the write
 */
record VersionedValue(String value, HybridTimestamp timestamp) implements Comparable<VersionedValue> {
    private static final Comparator<VersionedValue> ORDER = Comparator.comparing(VersionedValue::timestamp)
            .thenComparing(VersionedValue::value, Comparator.nullsFirst(Comparator.naturalOrder()));

    /**
     * Orders values by their timestamps. Two writes of a replica that has restarted in between may have equal
     * timestamps; those are ordered by value, so that all replicas keep the same one.
     */
    @Override
    public int compareTo(VersionedValue other) {
        return ORDER.compare(this, other);
    }

    /** Whether this value replaces another one, which is null if there is none. */
    boolean isNewerThan(VersionedValue other) {
        return other == null || compareTo(other) > 0;
    }
}

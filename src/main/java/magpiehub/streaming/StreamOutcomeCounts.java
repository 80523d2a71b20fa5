package magpiehub.streaming;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts how streams end, and sees to it that each has exactly one outcome: the first one reported stands. A second
 * one that differs is a fault, and is counted too. Not thread-safe: an instance belongs to one lock or one thread.
 */
public final class StreamOutcomeCounts {
    private final Map<StreamOutcome, Long> counts = new EnumMap<>(StreamOutcome.class);
    private long started;
    private long conflicts;

    /** Records that a stream has begun. */
    public void recordStart() {
        started++;
    }

    /**
     * Records the outcome of a stream.
     *
     * @param previous the outcome that the stream has already, or null
     * @return whether this outcome stands
     */
    public boolean recordEnd(StreamOutcome previous, StreamOutcome outcome) {
        if (previous != null) {
            // Both sides of a stream may report the same event; two reports that differ are looked into.
            conflicts += previous == outcome ? 0 : 1;
            return false;
        }
        counts.merge(outcome, 1L, Long::sum);
        return true;
    }

    /** How many streams ended so. */
    public long count(StreamOutcome outcome) {
        return counts.getOrDefault(outcome, 0L);
    }

    /** Second outcomes that were reported, each different from the first. */
    public long conflicts() {
        return conflicts;
    }

    /** Streams without an outcome as yet. */
    public long open() {
        return started - counts.values().stream().mapToLong(Long::longValue).sum();
    }
}

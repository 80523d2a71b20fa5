package magpiehub.streaming;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts streams by outcome and ensures that each has exactly one: the first outcome reported is kept. A second one
 * that differs is an error and is counted as a conflict. Not thread-safe: callers serialize access to an instance.
 */
public final class StreamOutcomeCounts {
    private final Map<StreamOutcome, Long> counts = new EnumMap<>(StreamOutcome.class);
    private long started;
    private long conflicts;

    /** Records the start of a stream. */
    public void recordStart() {
        started++;
    }

    /**
     * Records the outcome of a stream.
     *
     * @param previous the outcome that the stream already has, or null
     * @return whether the outcome was recorded
     */
    public boolean recordEnd(StreamOutcome previous, StreamOutcome outcome) {
        if (previous != null) {
            // Both sides of a stream may report the same end; only different outcomes are a conflict.
            conflicts += previous == outcome ? 0 : 1;
            return false;
        }
        counts.merge(outcome, 1L, Long::sum);
        return true;
    }

    /** The number of streams with this outcome. */
    public long count(StreamOutcome outcome) {
        return counts.getOrDefault(outcome, 0L);
    }

    /** The number of second outcomes that differed from the first. */
    public long conflicts() {
        return conflicts;
    }

    /** The number of streams that have started but have no outcome yet. */
    public long open() {
        return started - counts.values().stream().mapToLong(Long::longValue).sum();
    }
}

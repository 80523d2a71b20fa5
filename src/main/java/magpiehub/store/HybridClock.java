package magpiehub.store;

import java.util.function.LongSupplier;

/**
 * A hybrid logical clock: its counters are greater than all those that it has given or observed, and not less than the
 * wall clock's time. The first part orders a write after every one that the replica knows, whatever the wall clocks
 * say. The second orders it after the writes that the replica made before a restart, of which it knows nothing. Not
 * thread-safe.
 */
final class HybridClock {
    private final LongSupplier wallClockMicros;
    private long counter;

    /**
     * Creates a clock that has observed nothing.
     *
     * @param wallClockMicros the time since the epoch in microseconds; it may step back
     */
    HybridClock(LongSupplier wallClockMicros) {
        this.wallClockMicros = wallClockMicros;
    }

    /** Returns the counter of a new write. */
    long next() {
        counter = Math.max(counter + 1, wallClockMicros.getAsLong());
        return counter;
    }

    /** Records the counter of a write of any replica. */
    void observe(long observedCounter) {
        counter = Math.max(counter, observedCounter);
    }
}

package magpiehub.discovery;

import java.util.concurrent.atomic.AtomicLong;

/** Counts the inconsistencies found in a run, over all clients. Thread-safe. */
final class FaultTally {
    /** Endpoints that were missing in a client's list, or differed from the registry's. */
    final AtomicLong missed = new AtomicLong();
    /** Changes that a client reported twice. */
    final AtomicLong repeated = new AtomicLong();
    /** Older data that a client reported after newer data. */
    final AtomicLong regressed = new AtomicLong();
    /** Complete lists that were compared with the registry's data at their position. */
    final AtomicLong samples = new AtomicLong();

    /** Returns the number of all inconsistencies. */
    long total() {
        return missed.get() + repeated.get() + regressed.get();
    }
}

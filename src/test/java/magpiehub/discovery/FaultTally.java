package magpiehub.discovery;

import java.util.concurrent.atomic.AtomicLong;

/** What was found wrong in a run, over all clients. Thread-safe. */
final class FaultTally {
    /** Endpoints that a client lacked or had otherwise than the registry. */
    final AtomicLong missed = new AtomicLong();
    /** Changes that a client reported twice. */
    final AtomicLong repeated = new AtomicLong();
    /** Older data that a client reported after newer. */
    final AtomicLong regressed = new AtomicLong();
    /** Complete lists compared with what the registry had at their position. */
    final AtomicLong samples = new AtomicLong();

    long wrong() {
        return missed.get() + repeated.get() + regressed.get();
    }
}

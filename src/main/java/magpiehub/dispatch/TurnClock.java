package magpiehub.dispatch;

import magpiehub.concurrent.MonotonicClock;

/**
 * The time of the dispatcher's current turn. The time is constant during a turn and never decreases, even if the
 * underlying clock does. Not thread-safe.
 */
final class TurnClock {
    private final MonotonicClock clock;
    private long nowMicros;

    TurnClock(MonotonicClock clock) {
        this.clock = clock;
        this.nowMicros = clock.micros();
    }

    /** Reads the underlying clock. To be called at the start of a turn. */
    void advance() {
        nowMicros = Math.max(nowMicros, clock.micros());
    }

    long nowMicros() {
        return nowMicros;
    }
}

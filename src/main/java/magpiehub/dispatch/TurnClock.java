package magpiehub.dispatch;

import magpiehub.concurrent.MonotonicClock;

/**
 * The time of the dispatcher's current turn: everything that happens in one turn happens at one time. It never goes
 * backward, even if the clock does. Not thread-safe.
 */
final class TurnClock {
    private final MonotonicClock clock;
    private long nowMicros;

    TurnClock(MonotonicClock clock) {
        this.clock = clock;
        this.nowMicros = clock.micros();
    }

    /** Reads the clock, at the start of a turn. */
    void advance() {
        nowMicros = Math.max(nowMicros, clock.micros());
    }

    long nowMicros() {
        return nowMicros;
    }
}

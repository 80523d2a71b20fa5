package magpiehub.downstream;

import magpiehub.concurrent.MonotonicClock;

/**
 * Whether a listener sends its clients away: in standby, which can be revoked, or because the process ends. Both close
 * idle connections gradually, since their clients connect somewhere else at once.
 *
 * <p><b>Threads.</b> Any thread may read; changes come from one thread at a time.
 */
final class DrainState {
    /**
     * In standby, those who send clients learn of it within 0.2 s, and until then a client whose connection is closed
     * may come back here; from this time on each answer is its connection's last.
     */
    private static final long CLOSE_AFTER_MICROS = 250_000;
    /**
     * In standby, when the last idle connection is closed. Requests that come in then have two seconds until the
     * operators look whether all clients are gone.
     */
    private static final long IDLE_CLOSED_AFTER_MICROS = 1_600_000;

    private final MonotonicClock clock;
    private volatile boolean closing;
    /** 0 while not in standby. */
    private volatile long standbySinceMicros;
    /** When the last idle connection is to be closed; 0 while none need be. */
    private volatile long idleClosedByMicros;

    DrainState(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Enters or leaves standby; no effect if that is the state already. */
    void setStandby(boolean standby) {
        long nowMicros = clock.micros();
        if (standby == isStandby()) {
            return;
        }
        standbySinceMicros = standby ? nowMicros : 0;
        idleClosedByMicros = standby ? nowMicros + IDLE_CLOSED_AFTER_MICROS : 0;
    }

    /** Begins to close idle connections, the last by the given time; each answer is its connection's last. */
    void closeIdleBy(long micros) {
        closing = true;
        idleClosedByMicros = micros;
    }

    /** Makes each answer its connection's last. */
    void close() {
        closing = true;
    }

    boolean isStandby() {
        return standbySinceMicros != 0;
    }

    /** Whether each answer is its connection's last, because the process ends or standby has lasted long enough. */
    boolean closesConnections() {
        return closing || closesInStandby();
    }

    private boolean closesInStandby() {
        long sinceMicros = standbySinceMicros;
        return sinceMicros != 0 && clock.micros() - sinceMicros >= CLOSE_AFTER_MICROS;
    }

    /** When the last idle connection is to be closed; 0 while none is to be closed now. */
    long idleDeadlineMicros() {
        long byMicros = idleClosedByMicros;
        return isStandby() && !closesInStandby() ? 0 : byMicros;
    }

    /**
     * How many of the idle connections are to be closed now, for an even pace until all are gone.
     *
     * @param periodMicros the time until the next call
     */
    static int idleConnectionsToClose(int idle, long deadlineMicros, long nowMicros, long periodMicros) {
        if (nowMicros >= deadlineMicros) {
            return idle;
        }
        return Math.min(idle, (int) (idle * periodMicros / (deadlineMicros - nowMicros + periodMicros) + 1));
    }
}

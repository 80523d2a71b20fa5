package magpiehub.downstream;

import magpiehub.concurrent.MonotonicClock;

/**
 * Whether a listener is draining: in standby, which can be revoked, or because the process is shutting down. In both
 * cases idle connections are closed gradually, because their clients reconnect elsewhere at once.
 *
 * <p><b>Threads.</b> Any thread may read; changes come from one thread at a time.
 */
final class DrainState {
    /**
     * In standby, the time from which each response is the last on its connection. Load balancers learn of the standby
     * within 0.2 s; until then, a client whose connection is closed may reconnect to this router.
     */
    private static final long STANDBY_GRACE_PERIOD_MICROS = 250_000;
    /**
     * In standby, the time by which the last idle connection is closed. Requests that arrive at that time still have
     * two seconds until the operators check that all clients have gone.
     */
    private static final long STANDBY_IDLE_TIMEOUT_MICROS = 1_600_000;

    private final MonotonicClock clock;
    private volatile boolean closing;
    /** 0 while not in standby. */
    private volatile long standbySinceMicros;
    /** The deadline for closing the last idle connection; 0 if there is none. */
    private volatile long idleDeadlineMicros;

    DrainState(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Enters or leaves standby; no effect if that is already the state. */
    void setStandby(boolean standby) {
        long nowMicros = clock.micros();
        if (standby == isStandby()) {
            return;
        }
        standbySinceMicros = standby ? nowMicros : 0;
        idleDeadlineMicros = standby ? nowMicros + STANDBY_IDLE_TIMEOUT_MICROS : 0;
    }

    /** Starts to close idle connections, the last by the given time; each response is the last on its connection. */
    void closeIdleBy(long micros) {
        closing = true;
        idleDeadlineMicros = micros;
    }

    /** Makes each response the last on its connection. */
    void close() {
        closing = true;
    }

    boolean isStandby() {
        return standbySinceMicros != 0;
    }

    /**
     * Whether each response is the last on its connection, because the process is shutting down or standby has lasted
     * long enough.
     */
    boolean closesAfterResponse() {
        return closing || closesInStandby();
    }

    private boolean closesInStandby() {
        long sinceMicros = standbySinceMicros;
        return sinceMicros != 0 && clock.micros() - sinceMicros >= STANDBY_GRACE_PERIOD_MICROS;
    }

    /** The deadline for closing the last idle connection; 0 while none is to be closed yet. */
    long idleDeadlineMicros() {
        long deadlineMicros = idleDeadlineMicros;
        return isStandby() && !closesInStandby() ? 0 : deadlineMicros;
    }

    /**
     * How many of the idle connections to close now, so that they are closed at an even rate until the deadline.
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

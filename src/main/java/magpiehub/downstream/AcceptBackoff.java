package magpiehub.downstream;

/**
 * How long accepting pauses after failures in a row, and which of them are logged. A state machine without I/O and
 * without a clock; an instance belongs to one thread.
 */
final class AcceptBackoff {
    /** A failure that has passed by then, such as one client's reset, delays the next client by no more. */
    private static final long FIRST_PAUSE_MILLIS = 5;

    /** Clients wait in the socket's queue meanwhile. */
    private static final long MAX_PAUSE_MILLIS = 100;

    private static final long LOG_PERIOD_MICROS = 1_000_000;

    private long nextPauseMillis = FIRST_PAUSE_MILLIS;
    private long nextLogMicros = Long.MIN_VALUE;
    private long failuresSinceLog;

    /** A connection was accepted. */
    void recordAccepted() {
        nextPauseMillis = FIRST_PAUSE_MILLIS;
    }

    /** Accepting has failed; returns how long to pause before it is tried again. */
    long recordFailure() {
        failuresSinceLog++;
        long pauseMillis = nextPauseMillis;
        nextPauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * nextPauseMillis);
        return pauseMillis;
    }

    /** The failures that a log line is due for, the last one among them; 0 if none is due yet. */
    long acquireLogLine(long nowMicros) {
        if (nowMicros < nextLogMicros) {
            return 0;
        }
        nextLogMicros = nowMicros + LOG_PERIOD_MICROS;
        long count = failuresSinceLog;
        failuresSinceLog = 0;
        return count;
    }
}

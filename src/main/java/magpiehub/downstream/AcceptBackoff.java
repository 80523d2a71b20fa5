package magpiehub.downstream;

/**
 * Computes the pause after consecutive accept failures, and limits the rate of their log lines. A state machine without
 * I/O or a clock; an instance is confined to one thread.
 */
final class AcceptBackoff {
    /** Short, so that a transient failure, such as one client's reset, hardly delays the next client. */
    private static final long FIRST_PAUSE_MILLIS = 5;

    /** New connections wait in the socket's accept queue meanwhile. */
    private static final long MAX_PAUSE_MILLIS = 100;

    private static final long LOG_PERIOD_MICROS = 1_000_000;

    private long nextPauseMillis = FIRST_PAUSE_MILLIS;
    private long nextLogMicros = Long.MIN_VALUE;
    private long failuresSinceLog;

    /** Resets the pause after a connection was accepted. */
    void recordAccepted() {
        nextPauseMillis = FIRST_PAUSE_MILLIS;
    }

    /** Records a failure and returns how long to pause before accepting again. */
    long recordFailure() {
        failuresSinceLog++;
        long pauseMillis = nextPauseMillis;
        nextPauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * nextPauseMillis);
        return pauseMillis;
    }

    /**
     * Returns how many failures since the last log line a new line has to report, the latest included; 0 if none is due
     * yet.
     */
    long takeFailuresToLog(long nowMicros) {
        if (nowMicros < nextLogMicros) {
            return 0;
        }
        nextLogMicros = nowMicros + LOG_PERIOD_MICROS;
        long count = failuresSinceLog;
        failuresSinceLog = 0;
        return count;
    }
}

package magpiehub.concurrent;

/**
 * A monotonic clock with microsecond resolution, and timed waits based on it. Implementations are thread-safe. Tests
 * supply simulated clocks.
 */
public interface MonotonicClock {
    /** The system's monotonic clock. It starts far from 0, because the routing policy takes 0 for a time long past. */
    MonotonicClock SYSTEM = new MonotonicClock() {
        private static final long START_MICROS = 1_000_000_000_000L;
        private static final long NANOS_PER_MICRO = 1000;

        private final long startNanos = System.nanoTime();

        @Override
        public long micros() {
            return (System.nanoTime() - startNanos) / NANOS_PER_MICRO + START_MICROS;
        }
    };

    /** The current time in microseconds. */
    long micros();

    /**
     * Waits on a monitor that the caller holds, until notified or until this clock reaches a deadline. May return
     * early, like {@link Object#wait()}, or up to one millisecond late, because it waits in whole milliseconds; to be
     * called in a loop that tests the condition and the time.
     *
     * <p>Uses a monitor instead of a {@link java.util.concurrent.locks.Condition}: if a timed wait on a Condition
     * expires while the signalling thread is preempted in the middle of its signal, the waiting thread spins until that
     * thread continues. It never continues if both are real-time threads that share one core.
     *
     * @param untilMicros the deadline; with {@link Long#MAX_VALUE}, waits for a notification only
     */
    @SuppressWarnings("WaitNotInLoop") // The caller loops and tests the condition.
    default void await(Object monitor, long untilMicros) throws InterruptedException {
        monitor.wait(untilMicros == Long.MAX_VALUE ? 0 : Math.max(1, (untilMicros - micros() + 999) / 1000));
    }

    /** Waits until this clock has reached a time. Unlike {@link Thread#sleep}, follows a simulated clock. */
    default void sleepUntil(long untilMicros) throws InterruptedException {
        Object monitor = new Object();
        synchronized (monitor) {
            while (micros() < untilMicros) {
                await(monitor, untilMicros);
            }
        }
    }
}

package magpiehub.concurrent;

/**
 * A clock in whole microseconds that never goes backward, and the waits that are measured by it. Safe for use from any
 * thread. Tests provide clocks of their own.
 */
public interface MonotonicClock {
    /** The system's monotonic clock. It starts far from 0, which the routing policy reads as "long ago". */
    MonotonicClock SYSTEM = new MonotonicClock() {
        private static final long START_MICROS = 1_000_000_000_000L;
        private static final long NANOS_PER_MICRO = 1000;

        private final long startNanos = System.nanoTime();

        @Override
        public long micros() {
            return (System.nanoTime() - startNanos) / NANOS_PER_MICRO + START_MICROS;
        }
    };

    /** The time now. */
    long micros();

    /**
     * Waits on a monitor that the caller holds, until notified or until this clock may have reached a time. May return
     * early, as {@link Object#wait()} may, and up to one millisecond late, since it waits by whole milliseconds: to be
     * called in a loop that tests the condition and the time.
     *
     * <p>A monitor is used in place of a {@link java.util.concurrent.locks.Condition}: when a timed wait on a
     * Condition is over while the signalling thread is suspended between two steps of its signal, the waiting thread
     * polls without pause until that thread runs on. It never does where threads of a real-time scheduling class share
     * one core.
     *
     * @param untilMicros the time; {@link Long#MAX_VALUE} waits for a notification alone
     */
    @SuppressWarnings("WaitNotInLoop") // The loop, with its condition, is the caller's.
    default void await(Object monitor, long untilMicros) throws InterruptedException {
        monitor.wait(untilMicros == Long.MAX_VALUE ? 0 : Math.max(1, (untilMicros - micros() + 999) / 1000));
    }
}

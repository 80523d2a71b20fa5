package magpiehub.concurrent;

/** Whole microseconds on a clock that only goes forward. */
public interface MonotonicClock {
    long micros();

    /** Waits on a monitor that the caller holds until notified or until this clock may have reached a
     *  time; by whole milliseconds, so that it may return one late. A monitor, not the library's
     *  Condition: a timed wait there that is over while its signaller stands still between two steps
     *  looks again and again until that one goes on, which never comes where one thread runs at a
     *  time. */
    default void await(Object monitor, long until) throws InterruptedException {
        monitor.wait(until == Long.MAX_VALUE ? 0 : Math.max(1, (until - micros() + 999) / 1000));
    }

    /** The machine's monotonic clock. It starts far from zero: to the module, 0 is 'long ago'. */
    MonotonicClock SYSTEM = new MonotonicClock() {
        private final long start = System.nanoTime();

        @Override
        public long micros() {
            return (System.nanoTime() - start) / 1000 + 1_000_000_000_000L;
        }
    };
}

package magpiehub;

import java.util.concurrent.atomic.AtomicLong;
import magpiehub.concurrent.MonotonicClock;

/** A clock that advances only on request; waiting threads check it again every millisecond. */
final class ManualClock implements MonotonicClock {
    private static final long START_MICROS = 1_000_000_000_000L;
    private static final int MICROS_PER_MILLI = 1000;

    private final AtomicLong nowMicros = new AtomicLong(START_MICROS);

    @Override
    public long micros() {
        return nowMicros.get();
    }

    @Override
    @SuppressWarnings("WaitNotInLoop") // Callers check the clock again in a loop.
    public void await(Object monitor, long until) throws InterruptedException {
        monitor.wait(1);
    }

    void advanceMillis(long millis) {
        nowMicros.addAndGet(millis * MICROS_PER_MILLI);
    }

    /** The time by which the clock has advanced since its creation. */
    long elapsedMillis() {
        return (micros() - START_MICROS) / MICROS_PER_MILLI;
    }
}

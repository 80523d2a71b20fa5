package magpiehub.streaming;

import java.util.concurrent.TimeUnit;
import magpiehub.concurrent.DaemonThreads;

/**
 * Measures the longest delay with which this machine schedules a runnable thread. The threads that measure times in
 * this test are subject to the same delay, so it is added to bounds on times. With idle cores it is a millisecond.
 */
public final class SchedulingDelay {
    private volatile long maxMicros;

    /** Starts a thread that repeatedly sleeps and measures its oversleep until the process exits. */
    public void startMeasuring() {
        DaemonThreads.newThread("scheduling-delay", this::measure).start();
    }

    private void measure() {
        try {
            while (true) {
                long startNanos = System.nanoTime();
                TimeUnit.MILLISECONDS.sleep(1);
                maxMicros = Math.max(maxMicros, (System.nanoTime() - startNanos) / 1000 - 1000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The longest delay so far. */
    public long maxMicros() {
        return maxMicros;
    }
}

package magpiehub.streaming;

import java.util.concurrent.TimeUnit;
import magpiehub.concurrent.DaemonThreads;

/**
 * The longest that this machine keeps a thread waiting for a core. Times are measured here by threads that wait for a
 * core themselves, so a bound on a time holds beyond this. On a machine with cores to spare it is a millisecond.
 */
final class SchedulingDelay {
    private volatile long maxMicros;

    /** Starts a thread that sleeps and measures for as long as the process lives. */
    void startMeasuring() {
        DaemonThreads.newThread("lateness", this::measure).start();
    }

    private void measure() {
        try {
            while (true) {
                long begun = System.nanoTime();
                TimeUnit.MILLISECONDS.sleep(1);
                maxMicros = Math.max(maxMicros, (System.nanoTime() - begun) / 1000 - 1000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The longest delay so far (us). */
    long maxMicros() {
        return maxMicros;
    }
}

package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Only CPU time of a thread that neither waits nor makes system calls counts as a spin. */
class CpuRunTrackerTest {
    private final CpuRunTracker tracker = new CpuRunTracker();

    /** CPU times are in ticks of 10 ms. */
    private long record(long user, long system, long waits) {
        return tracker.record(new ThreadSample(7, "t", user, system, waits));
    }

    @Test
    void runOfOneSecondWithoutAWaitIsReported() {
        assertEquals(-1, record(50, 1, 3));
        assertEquals(-1, record(149, 1, 3));
        assertEquals(1_000, record(150, 1, 3));
        assertEquals(1_000L, tracker.longestRunMillis().get("t").longValue());
    }

    @Test
    void waitStartsANewRun() {
        record(50, 1, 3);
        assertEquals(-1, record(150, 1, 4));
        assertEquals(-1, record(249, 1, 4));
        assertEquals(1_000, record(250, 1, 4));
    }

    @Test
    void systemCallsAreNotASpin() {
        record(0, 0, 3);
        assertEquals(-1, record(200, 100, 3));
    }
}

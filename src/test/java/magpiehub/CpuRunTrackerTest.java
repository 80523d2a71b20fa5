package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What the proof of waits counts: CPU time of a thread that has neither waited nor made system calls. */
class CpuRunTrackerTest {
    private final CpuRunTracker runs = new CpuRunTracker();

    /** Ticks of 10 ms. */
    private long record(long user, long system, long waits) {
        return runs.record(new ThreadSample(7, "t", user, system, waits));
    }

    @Test
    void runOfOneSecondWithoutAWaitIsReported() {
        assertEquals(-1, record(50, 1, 3));
        assertEquals(-1, record(149, 1, 3));
        assertEquals(1_000, record(150, 1, 3));
        assertEquals(1_000L, runs.longestRunMillis().get("t").longValue());
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

package magpiehub;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What the proof of waits counts: CPU time of a thread that has neither waited nor made system calls. */
class StepProofTest {
    private final CpuRunTracker runs = new CpuRunTracker();

    /** Ticks of 10 ms. */
    private long look(long user, long system, long waits) {
        return runs.record(new ThreadSample(7, "t", user, system, waits));
    }

    @Test
    void aSecondWithoutAWaitIsNamed() {
        assertEquals(-1, look(50, 1, 3));
        assertEquals(-1, look(149, 1, 3));
        assertEquals(1_000, look(150, 1, 3));
        assertEquals(1_000L, runs.longestRunMillis().get("t").longValue());
    }

    @Test
    void aWaitBeginsTheCountAnew() {
        look(50, 1, 3);
        assertEquals(-1, look(150, 1, 4));
        assertEquals(-1, look(249, 1, 4));
        assertEquals(1_000, look(250, 1, 4));
    }

    @Test
    void systemCallsAreNoSpin() {
        look(0, 0, 3);
        assertEquals(-1, look(200, 100, 3));
    }
}

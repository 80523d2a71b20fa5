package magpiehub.streaming;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The randomized fault test at a small scale. */
class StreamFaultRunTest {
    @Test
    void allBoundsHoldAtSmallScale() throws Exception {
        StringBuilder line = new StringBuilder();
        boolean holds = StreamFaultRun.run(3, 12, 26, line);
        assertTrue(holds, line.toString());
    }
}

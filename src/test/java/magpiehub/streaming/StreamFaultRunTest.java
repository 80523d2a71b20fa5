package magpiehub.streaming;

import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** The randomized fault test at a small scale. */
public class StreamFaultRunTest {
    @Test
    public void allBoundsHoldAtASmallScale() throws Exception {
        StringBuilder line = new StringBuilder();
        boolean holds = StreamFaultRun.run(3, 12, 26, line);
        assertTrue(line.toString(), holds);
    }
}

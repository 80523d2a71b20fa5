package magpiehub.streaming;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** The counts of outcomes, driven directly. */
public class StreamOutcomeCountsTest {
    @Test
    public void eachStreamHasOneOutcome() {
        StreamOutcomeCounts outcomes = new StreamOutcomeCounts();
        outcomes.recordStart();
        assertEquals(1, outcomes.open());
        assertTrue(outcomes.recordEnd(null, StreamOutcome.COMPLETE));
        assertFalse(outcomes.recordEnd(StreamOutcome.COMPLETE, StreamOutcome.COMPLETE));
        assertEquals("the same word from both sides is no fault", 0, outcomes.conflicts());
        assertFalse(outcomes.recordEnd(StreamOutcome.COMPLETE, StreamOutcome.CLIENT_DISCONNECTED));
        assertEquals(1, outcomes.conflicts());
        assertEquals(0, outcomes.open());
        assertEquals(1, outcomes.count(StreamOutcome.COMPLETE));
        assertEquals(0, outcomes.count(StreamOutcome.CLIENT_DISCONNECTED));
    }
}

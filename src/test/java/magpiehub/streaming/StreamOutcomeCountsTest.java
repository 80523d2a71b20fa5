package magpiehub.streaming;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The counts of outcomes, driven directly. */
class StreamOutcomeCountsTest {
    @Test
    void eachStreamHasOneOutcome() {
        StreamOutcomeCounts outcomes = new StreamOutcomeCounts();
        outcomes.recordStart();
        assertEquals(1, outcomes.open());
        assertTrue(outcomes.recordEnd(null, StreamOutcome.COMPLETE));
        assertFalse(outcomes.recordEnd(StreamOutcome.COMPLETE, StreamOutcome.COMPLETE));
        assertEquals(0, outcomes.conflicts(), "the same word from both sides is no fault");
        assertFalse(outcomes.recordEnd(StreamOutcome.COMPLETE, StreamOutcome.CLIENT_DISCONNECTED));
        assertEquals(1, outcomes.conflicts());
        assertEquals(0, outcomes.open());
        assertEquals(1, outcomes.count(StreamOutcome.COMPLETE));
        assertEquals(0, outcomes.count(StreamOutcome.CLIENT_DISCONNECTED));
    }
}
